package rusage

import "syscall"

const usPerSecond = 1_000_000

// Usage is one reading of processor time.
type Usage struct {
	cpuUS int64
}

// New returns the processor time used by this process so far.
func New() Usage {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return Usage{}
	}
	return Usage{(ru.Utime.Sec+ru.Stime.Sec)*usPerSecond + int64(ru.Utime.Usec) + int64(ru.Stime.Usec)}
}

// SinceUS returns the processor time in microseconds between an earlier reading and this one.
func (us Usage) SinceUS(earlier Usage) int64 { return us.cpuUS - earlier.cpuUS }
