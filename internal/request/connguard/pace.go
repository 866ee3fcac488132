package connguard

import "time"

// pace limits the rate of the bytes that count: reading and decoding many large bodies at once would leave no processor time for other requests. Its fields belong to the guard's lock.
type pace struct {
	// bytesPerS is the rate, 0 for no limit; as many bytes may come at once after a pause.
	bytesPerS int64
	// usedMS is until when the rate is used up, in milliseconds of the guard's clock.
	usedMS int64
}

const (
	msPerS = 1000
	// burstMS is the time whose bytes may come at once.
	burstMS = 1000
	// maxWaitMS bounds how long one read waits: connections that were closed have taken up time that nobody uses.
	maxWaitMS = 2000
	// overheadCost is what a byte costs that is received beyond the head and the body itself: reading the lines around the smallest chunks takes many times as long as reading their data.
	overheadCost = 8
)

// take takes up the time of some bytes and returns how long to wait before more are read.
func (pc *pace) take(nowMS, bytes int64) time.Duration {
	if pc.bytesPerS == 0 {
		return 0
	}
	usedMS := max(pc.usedMS, nowMS-burstMS) + bytes*msPerS/pc.bytesPerS
	pc.usedMS = min(usedMS, nowMS+maxWaitMS)
	return time.Duration(max(pc.usedMS-nowMS, 0)) * time.Millisecond
}
