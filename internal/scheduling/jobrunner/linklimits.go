package jobrunner

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// paceIntervalMS is how often the limits on polls are adapted.
	paceIntervalMS = 250
	// A relayed poll takes the size of its answer and relayedOverheadBytes; a direct one takes directFactor times that size, since it is JSON, and directOverheadBytes.
	relayedOverheadBytes = 100
	directOverheadBytes  = 500
	directFactor         = 3
	// maxBurstMS is how long the link may take to carry the orders, or the first polls, that are under way at once: a commit that begins meanwhile waits for them.
	maxBurstMS = 100
	msPerS     = 1000
	// directOrderBytes and directPollBytes are the mean sizes of a start with its payload, and of a poll with the lists of a busy VM; relayedBytes is that of either when another entry carries it.
	directOrderBytes = 2000
	directPollBytes  = 1500
	relayedBytes     = 400
	// minUnderWay is how many starts, or first polls, any link carries at once.
	minUnderWay = 8
)

// linkLimited reports whether this entry's link doesn't carry the calls to all VMs.
func (rn *Runner) linkLimited() bool { return rn.deps.Relays.LinkLimited(len(rn.ct.VMs())) }

// startLimit returns how many starts may be under way, by how fast VMs answer and by the link.
func (rn *Runner) startLimit() int {
	return min(rn.starts.Limit(), rn.underWayLimit(directOrderBytes))
}

// paceCalls adapts the limits on polls to the link.
func (rn *Runner) paceCalls(nowMS int64) {
	if rn.deps.LinkBytesPerS == 0 || nowMS < rn.nextPaceMS {
		return
	}
	rn.nextPaceMS = nowMS + paceIntervalMS
	rn.ct.LimitFirstPolls(rn.firstPollLimit())
	rn.ct.SetBusyPollInterval(rn.pollPace.IntervalMS(rn.ct.BusyVMs()))
}

// recordPollSize records the size of a poll by its answer, nil if there was none.
func (rn *Runner) recordPollSize(lk *workpb.Look) {
	if lk == nil || rn.deps.LinkBytesPerS == 0 {
		return
	}
	bytes := int64(proto.Size(lk))
	if rn.deps.Relays.Ready() {
		rn.pollPace.Record(bytes + relayedOverheadBytes)
		return
	}
	rn.pollPace.Record(bytes*directFactor + directOverheadBytes)
}

// firstPollLimit returns how many VMs may be polled at once for the first time: a new owner has to poll all of them.
func (rn *Runner) firstPollLimit() int { return rn.underWayLimit(directPollBytes) }

// underWayLimit returns how many calls of a size the link carries within maxBurstMS.
func (rn *Runner) underWayLimit(directBytes int64) int {
	if rn.deps.LinkBytesPerS == 0 {
		return math.MaxInt
	}
	bytes := directBytes
	if rn.deps.Relays.Ready() {
		bytes = relayedBytes
	}
	return int(max(rn.deps.LinkBytesPerS*maxBurstMS/msPerS/bytes, minUnderWay))
}
