// Package blackhole simulates a network fault in which open connections drop all data without being closed, while new connections work.
package blackhole
