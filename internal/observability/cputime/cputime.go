package cputime

import "syscall"

const usPerSecond = 1_000_000

// Usage is a reading of the CPU time that the process has used in user and system mode.
type Usage struct {
	cpuUS int64
}

// New returns the CPU time used by this process so far, or 0 if the system call fails.
func New() Usage {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return Usage{}
	}
	return Usage{(ru.Utime.Sec+ru.Stime.Sec)*usPerSecond + int64(ru.Utime.Usec) + int64(ru.Stime.Usec)}
}

// SinceUS returns the CPU time in microseconds used between an earlier reading and this one.
func (us Usage) SinceUS(earlier Usage) int64 { return us.cpuUS - earlier.cpuUS }
