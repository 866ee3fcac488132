package takeover

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// Rule is one entry's decisions on takeovers; it isn't safe for concurrent use.
type Rule struct {
	// linkBytesPerS is the rate of this entry's link, 0 if it is unknown.
	linkBytesPerS int64
	// random returns a number from 0 up to 1.
	random func() float64
	// failures counts the terms in a row that ended without lasting; until untilMS the entry leaves the ownership to others.
	failures int
	untilMS  int64
	// yields counts the overloads in a row after which the entry gave up the ownership; until requestUntilMS it doesn't ask a weaker owner for it.
	yields         int
	requestUntilMS int64
	// token and firstBytes are those of the restoring owner when it was first seen, progressed is set once it has read more.
	token      int64
	firstBytes int64
	progressed bool
	// restoreBytes is the most that an owner was seen to have read.
	restoreBytes int64
}

const (
	// expiryMS is how long the row must be seen unchanged before another entry takes over; it exceeds the ownership lease of 1 s by a margin for clock drift.
	expiryMS = 1200
	// restoreExpiryMS applies to an owner whose restore progresses: its renewals share a slow link with the restore, and a successor has to read everything again.
	restoreExpiryMS = 2400
	// readTimeFactor is how many times the duration of its own read an entry adds to the expiry, since a slow store delays the commits of the owner as well.
	readTimeFactor = 4
	// minBackoffMS to maxBackoffMS is how long an entry leaves the ownership to others after failures; jitterPart of it is random.
	minBackoffMS = 2000
	maxBackoffMS = 30_000
	// maxBackoffDoublings keeps the backoff from overflowing.
	maxBackoffDoublings = 10
	jitterPart          = 0.25
	// minSuccessfulTermMS is how long an owner must have scheduled for its failures to be forgotten.
	minSuccessfulTermMS = 10_000
	// deferPerClassMS is how long an entry defers to each class of stronger ones; it exceeds the interval between their polls. maxDeferClasses limits the number of classes.
	deferPerClassMS = 300
	maxDeferClasses = 3
	// An entry whose restore would take more than quickRestoreMS defers by the excess divided by restoreDeferDivisor, at most maxRestoreDeferMS.
	quickRestoreMS      = 1000
	restoreDeferDivisor = 10
	maxRestoreDeferMS   = 2000
	// linkDivisor divides the rate of the link into the part that a restore uses.
	linkDivisor = 2
	msPerS      = 1000
	// minTermMS is the minimum time that an owner schedules before it yields; stableTermMS is the term of a predecessor from which the load seems to be one that an entry can carry.
	minTermMS    = 3000
	stableTermMS = 30_000
	// On a link that doesn't carry the fleet's calls an owner schedules for termFactor times the term of a predecessor that gave it up before it yields, unless that one lasted for longTermMS.
	termFactor = 2
	longTermMS = 600_000
	// minRequestBackoffMS to maxRequestBackoffMS is for how long an entry that was overloaded leaves the ownership to weaker ones.
	minRequestBackoffMS = 60_000
	maxRequestBackoffMS = 600_000
)

const (
	// TransferDeferMS is how much longer entries defer to a stronger one at whose request the row was released; it exceeds the interval between that one's polls.
	TransferDeferMS = 700
	// OwnRowDeferMS is how much longer a restarted entry leaves the row of its earlier process to stronger ones, which must first see it unchanged for expiryMS and may have started a little later.
	OwnRowDeferMS = 1800
)

// New returns the rule of an entry without failures; linkBytesPerS is the rate of its link, 0 if it is unknown, and random returns numbers from 0 up to 1.
func New(linkBytesPerS int64, random func() float64) *Rule {
	return &Rule{linkBytesPerS: linkBytesPerS, random: random}
}

// Observe takes the ownership row as last read.
func (ru *Rule) Observe(row *workpb.Ownership) {
	if row.GetToken() != ru.token || !row.GetRestoring() {
		ru.token, ru.firstBytes, ru.progressed = row.GetToken(), row.GetRestoredBytes(), false
	}
	ru.progressed = ru.progressed || row.GetRestoredBytes() > ru.firstBytes
	ru.restoreBytes = max(ru.restoreBytes, row.GetRestoredBytes())
}

// ExpiryMS returns how long the observed row must be unchanged for its owner to count as lost; readMS is the duration of the last read of the row.
func (ru *Rule) ExpiryMS(readMS int64) int64 {
	if ru.progressed {
		return restoreExpiryMS + readTimeFactor*readMS
	}
	return expiryMS + readTimeFactor*readMS
}

// DeferMS returns how long this entry leaves a free row to others: to each class of stronger ones, and to those with faster links if its own restore would take long.
func (ru *Rule) DeferMS(strongerClasses int) int64 {
	return deferPerClassMS*int64(min(strongerClasses, maxDeferClasses)) + min(max(ru.restoreMS()-quickRestoreMS, 0)/restoreDeferDivisor, maxRestoreDeferMS)
}

// restoreMS returns how long a restore of this entry would take, as far as is known.
func (ru *Rule) restoreMS() int64 {
	if ru.linkBytesPerS == 0 {
		return 0
	}
	return ru.restoreBytes * linkDivisor * msPerS / ru.linkBytesPerS
}

// MayTry reports whether this entry competes for the ownership.
func (ru *Rule) MayTry(nowMS int64) bool { return nowMS >= ru.untilMS }

// UntilMS returns until when this entry leaves the ownership to others.
func (ru *Rule) UntilMS() int64 { return ru.untilMS }

// Failures returns the number of terms in a row that ended without lasting.
func (ru *Rule) Failures() int { return ru.failures }

// RecordTerm records the end of a term of this entry that was neither released in good order nor yielded; scheduledMS is how long it scheduled, 0 if its restore didn't end.
func (ru *Rule) RecordTerm(nowMS, scheduledMS int64) {
	if scheduledMS >= minSuccessfulTermMS {
		ru.failures = 0
		return
	}
	backoffMS := min(int64(minBackoffMS)<<min(ru.failures, maxBackoffDoublings), maxBackoffMS)
	ru.failures++
	ru.untilMS = nowMS + int64(float64(backoffMS)*(1-jitterPart*ru.random()))
}

// RecordYield records that this entry gave up the ownership because it was overloaded, after it had scheduled for termMS.
func (ru *Rule) RecordYield(nowMS, termMS int64) {
	if termMS >= longTermMS {
		ru.yields = 0
	}
	ru.requestUntilMS = nowMS + min(int64(minRequestBackoffMS)<<min(ru.yields, maxBackoffDoublings), maxRequestBackoffMS)
	ru.yields++
}

// MayRequest reports whether this entry may ask a weaker owner for the ownership.
func (ru *Rule) MayRequest(nowMS int64) bool { return ru.MayTry(nowMS) && nowMS >= ru.requestUntilMS }

// MayYield reports whether an overloaded owner gives up the ownership after it has scheduled for termMS, as another entry may do better. One whose predecessor's term was short keeps it for longer, so that a load too high for every entry doesn't pass the ownership around. If its link doesn't carry the fleet's calls, only a stronger entry is likely to do better, and it keeps the ownership for longer than a predecessor that gave it up after releasedMS, 0 if it was lost.
func (ru *Rule) MayYield(termMS, predecessorMS, releasedMS int64, linkLimited, strongerExists bool) bool {
	leastMS := int64(minTermMS)
	if predecessorMS < stableTermMS {
		leastMS = stableTermMS
	}
	if !linkLimited {
		return termMS >= leastMS
	}
	if releasedMS < longTermMS {
		leastMS = max(leastMS, releasedMS*termFactor)
	}
	return strongerExists && termMS >= leastMS
}
