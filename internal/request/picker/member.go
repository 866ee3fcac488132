package picker

import (
	"math"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

const (
	refreshIntervalMS = 5
	neverMS           = math.MinInt64 / 2
	failurePenalty    = 4.0
	refusalPenalty    = 2.0
	maxRemotePenalty  = 1.0
	penaltyHalfLifeMS = 5_000
	failuresToEject   = 5
	trialsToRestore   = 3
	firstPauseMS      = 5
	maxPauseMS        = 2_000
	maxPauseSteps     = 9
	firstEjectionMS   = 5_000
	maxEjectionMS     = 60_000
	maxEjectionSteps  = 10
	maxEjectedPercent = 30
	wholePercent      = 100
)

// member holds the load, the recent failures and the ejection state of one endpoint.
type member struct {
	vm             *platformpb.VM
	slots          int
	isLeaving      bool
	running        int
	heldSlots      int
	lastPenalty    float64
	lastPenaltyMS  int64
	failures       int
	refusals       int
	pausedUntilMS  int64
	ejections      int
	ejectedUntilMS int64
	trial          bool
	passedTrials   int
}

func (mb *member) ejected(now int64) bool { return now < mb.ejectedUntilMS }

// penalty returns the penalty, which decays exponentially.
func (mb *member) penalty(now int64) float64 {
	if mb.lastPenalty == 0 {
		return 0
	}
	return mb.lastPenalty * math.Exp2(-float64(now-mb.lastPenaltyMS)/penaltyHalfLifeMS)
}

func (mb *member) addPenalty(now int64, added float64) {
	mb.lastPenalty = mb.penalty(now) + added
	mb.lastPenaltyMS = now
}

// recordRefusal returns how long the slot of a refused request stays unused; the pause doubles with each refusal, and refusals within one pause count as one.
func (mb *member) recordRefusal(now int64) int64 {
	pauseEnded := now >= mb.pausedUntilMS
	if pauseEnded {
		mb.refusals++
	}
	pauseMS := min(int64(firstPauseMS)<<min(mb.refusals-1, maxPauseSteps), maxPauseMS)
	if pauseEnded {
		mb.pausedUntilMS = now + pauseMS
	}
	return pauseMS
}

// eject takes the endpoint out of use for a time that doubles with each ejection. After that, the endpoint gets one trial request at a time.
func (mb *member) eject(now int64) {
	mb.ejectedUntilMS = now + min(int64(firstEjectionMS)<<min(mb.ejections, maxEjectionSteps), maxEjectionMS)
	mb.ejections++
	mb.trial = true
	mb.passedTrials = 0
}
