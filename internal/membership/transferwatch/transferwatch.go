package transferwatch

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// Watch follows the transfer requests for one ownership; it isn't safe for concurrent use.
type Watch struct {
	token      int64
	strength   int64
	requiredMS int64

	// incarnation is the process that asks, "" if none does; it has done so since sinceMS.
	incarnation string
	sinceMS     int64
	// version is that of the request's row, which changed last at changedMS.
	version   int64
	changedMS int64
	// observedMS is the time of the last observation.
	observedMS int64
}

const (
	// minSteadyMS is how long a stronger entry must have asked without a pause; it doubles with each transfer that was followed by a short term, maxDoublings times at most.
	minSteadyMS  = 3000
	maxDoublings = 4
	// maxSilenceMS is the longest time between two writes of a request, as seen by the owner; after a longer one the entry that asks counts as lost.
	maxSilenceMS = 2000
)

// New returns the watch of an owner with the given fencing token and strength; shortTransfers is how many transfers to stronger entries were followed by a short term.
func New(token, strength int64, shortTransfers int32) *Watch {
	return &Watch{token: token, strength: strength, requiredMS: minSteadyMS << min(max(shortTransfers, 0), maxDoublings)}
}

// Observe takes the row of the request as read at nowMS; a request for another ownership, or of an entry that isn't stronger, counts as none.
func (wt *Watch) Observe(nowMS, version int64, rq *workpb.TransferRequest) {
	wt.observedMS = nowMS
	if rq.GetToken() != wt.token || rq.GetStrength() <= wt.strength {
		wt.incarnation = ""
		return
	}
	if rq.GetIncarnation() != wt.incarnation || nowMS-wt.changedMS > maxSilenceMS {
		wt.incarnation, wt.sinceMS = rq.GetIncarnation(), nowMS
	}
	if version != wt.version {
		wt.version, wt.changedMS = version, nowMS
	}
}

// Steady reports whether the entry that asks has just asked anew, and has done so for long enough that the owner hands over to it.
func (wt *Watch) Steady() bool {
	return wt.incarnation != "" && wt.changedMS == wt.observedMS && wt.SteadyMS() >= wt.requiredMS
}

// SteadyMS returns for how long the observed entry has asked without a pause, 0 if none does.
func (wt *Watch) SteadyMS() int64 {
	if wt.incarnation == "" {
		return 0
	}
	return max(wt.changedMS-wt.sinceMS, 0)
}
