// Package scenario tests a whole fleet under failures with testscript scripts, on a fake clock in the test process.
package scenario
