// Package cputime reads the CPU time that this process has used.
package cputime
