package unit

import "sync/atomic"

// Unit permits one running request or job; only the first call of a release method takes effect.
type Unit struct {
	check          func() error
	release        func()
	releaseUnknown func(sentMS int64)
	released       atomic.Bool
}

// New returns a unit that calls the given functions of the limit that it belongs to.
func New(check func() error, release func(), releaseUnknown func(sentMS int64)) *Unit {
	return &Unit{check: check, release: release, releaseUnknown: releaseUnknown}
}

// Check returns an error of code LeaseLapsed if no work may start under the unit any more; call it right before the first byte is sent.
func (un *Unit) Check() error { return un.check() }

// Release gives the unit back once it is certain that nothing runs under it.
func (un *Unit) Release() {
	if un.released.CompareAndSwap(false, true) {
		un.release()
	}
}

// ReleaseUnknown gives the unit back once the longest possible run, counted from the time of sending, is over; use it when the outcome is unknown.
func (un *Unit) ReleaseUnknown(sentMS int64) {
	if un.released.CompareAndSwap(false, true) {
		un.releaseUnknown(sentMS)
	}
}
