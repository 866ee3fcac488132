// Package rusage reads the CPU time that this process has used.
package rusage
