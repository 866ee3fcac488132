package limit

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// teamLimit is this entry's state for one team's limit.
type teamLimit struct {
	mu            sync.Mutex
	team          string
	limit         int64
	bundleVersion uint64

	// part is the lowest number of units that the row can give this entry, whatever became of writes in doubt; admissible is how many of them may admit new work.
	part       int64
	admissible int64
	// holdMS is the time after the end of this entry by which all its loans and all work that it admitted under the part have ended; the row records it, and the part is reclaimed only after it.
	holdMS int64
	// reducing is set from a limit reduction until the row is rewritten; reducedPart is the part that the entry keeps meanwhile.
	reducing         bool
	reducedPart      int64
	reducedPartTicks int
	reductions       atomic.Uint64
	running          int64
	out              map[string]*loanOut
	in               []*loanIn
	pendingReleases  []pendingRelease
	// abandoned lists requested loans that this entry won't use, to be returned in the next tick.
	abandoned []loanRef

	row        *limitpb.Row
	rowVersion uint64
	rowKnown   bool
	rowReadMS  int64
	// inDoubt holds the row versions on which the writes in doubt are conditional.
	inDoubt []uint64
	writing bool

	// peaks holds the highest number of running units in each of the last ticks, the current one first.
	peaks         [peakTicks]int64
	denied        int64
	deniedMS      int64
	refillRetryMS int64
	backoffMS     int64
	// reserve is how many units that become free are kept for a borrower until reserveEndMS.
	reserve      int64
	reserveEndMS int64
	nextLender   int
	refillDone   chan struct{}
}

// loanOut is a loan to another entry; if it is never returned, its units are free again at expiryMS.
type loanOut struct {
	units      int64
	borrower   string
	sinceMS    int64
	expiryMS   int64
	extensions int
}

// loanIn is a loan from another entry.
type loanIn struct {
	id     string
	lender string
	units  int64
	// reportedUnits is the number of units that the lender was last told of.
	reportedUnits int64
	lengthMS      int64
	running       int64
	maxRunMS      int64
	ls            *lease.Lease
	// merged is set once the lender has converted the loan and its units count towards the own part.
	merged bool
	// ended is set when the limit is reduced; the loan isn't extended any more.
	ended bool
}

type loanRef struct{ lender, id string }

// charge records what a running unit counts against: a loan, or the own part if ln is nil.
type charge struct {
	ln         *loanIn
	reductions uint64
}

// pendingRelease is a unit whose work, of unknown outcome, has certainly ended at the given time.
type pendingRelease struct {
	atMS int64
	ct   *charge
}

const (
	peakTicks = 3
	// After this many ticks the entry gives up its reduced part if the parts still exceed the limit.
	reducedPartMaxTicks = 20
	starvedMS           = 2000
	backoffMinMS        = 20
	backoffMaxMS        = 500
)

func newTeamLimit(team string) *teamLimit {
	return &teamLimit{team: team, out: map[string]*loanOut{}}
}

// adopt sets a new limit. When the limit is reduced, or may have been reduced in a version that was skipped, the units held admit no new work until the row shows that all parts fit into the new limit. next reports that no version was skipped; strict is false only in tests.
func (tl *teamLimit) adopt(version uint64, limit int64, next, strict bool) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if strict && (!next || limit < tl.limit) {
		tl.reducedPart = tl.scaledPart(limit, next)
		tl.reducedPartTicks = 0
		tl.reducing = true
		tl.admissible = 0
		tl.reductions.Add(1)
		for _, ln := range tl.in {
			ln.ended = true
			ln.ls.End()
		}
	}
	tl.limit = limit
	tl.bundleVersion = version
	tl.refillRetryMS = 0
	tl.backoffMS = 0
}

// scaledPart returns the own part scaled to a reduced limit, 0 when bundle versions in between were skipped.
func (tl *teamLimit) scaledPart(limit int64, next bool) int64 {
	if !next || tl.limit == 0 {
		return 0
	}
	from := tl.part
	if tl.reducing {
		from = tl.reducedPart
	}
	return from * limit / tl.limit
}

func (tl *teamLimit) lent() int64 {
	var sum int64
	for _, ln := range tl.out {
		sum += ln.units
	}
	return sum
}

// inUse counts the units of the own part that are running or lent.
func (tl *teamLimit) inUse() int64 { return tl.running + tl.lent() }

func (tl *teamLimit) idle() int64 { return min(tl.part, tl.admissible) - tl.inUse() }

// freeOwn counts the idle units of the own part that aren't reserved for a borrower.
func (tl *teamLimit) freeOwn(now int64) int64 {
	if now < tl.reserveEndMS {
		return tl.idle() - tl.reserve
	}
	return tl.idle()
}

// holding counts the units that this entry may use, including those in use.
func (tl *teamLimit) holding() int64 {
	sum := min(tl.part, tl.admissible) - tl.lent()
	for _, ln := range tl.in {
		sum += ln.running + ln.free()
	}
	return max(0, sum)
}

func (tl *teamLimit) totalRunning() int64 {
	sum := tl.running
	for _, ln := range tl.in {
		sum += ln.running
	}
	return sum
}

func (tl *teamLimit) starved(now int64) bool { return tl.denied > 0 && now-tl.deniedMS < starvedMS }

// spare counts the idle units beyond the recent peak of this entry's own work.
func (tl *teamLimit) spare(now int64) int64 {
	if tl.starved(now) {
		return 0
	}
	peak := tl.totalRunning()
	for _, seen := range tl.peaks {
		peak = max(peak, seen)
	}
	return max(0, tl.idle()-(peak-tl.totalRunning()))
}

func (tl *teamLimit) addRunning(ct *charge) {
	ct.reductions = tl.reductions.Load()
	if ct.ln == nil {
		tl.running++
	} else {
		ct.ln.running++
	}
	tl.peaks[0] = max(tl.peaks[0], tl.totalRunning())
}

// checkReduction refuses work that was admitted before the last limit reduction and hasn't started.
func (tl *teamLimit) checkReduction(ct *charge) error {
	if ct.reductions == tl.reductions.Load() {
		return nil
	}
	return code.LeaseLapsed.New("limit of team %s was reduced after the work was admitted", tl.team)
}

func (tl *teamLimit) release(ct *charge) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.removeRunning(ct)
}

func (tl *teamLimit) removeRunning(ct *charge) {
	if ct.ln == nil || ct.ln.merged {
		tl.running--
		return
	}
	ct.ln.running--
}

func (tl *teamLimit) releaseAfter(ct *charge, sentMS, maxRunMS, now int64) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	at := sentMS + lease.ExpiredAfterMS(maxRunMS)
	if at <= now {
		tl.removeRunning(ct)
		return
	}
	tl.pendingReleases = append(tl.pendingReleases, pendingRelease{atMS: at, ct: ct})
}

// expire frees units whose time has passed: those of work with an unknown outcome and those of loans that were never returned.
func (tl *teamLimit) expire(now int64) {
	left := tl.pendingReleases[:0]
	for _, pr := range tl.pendingReleases {
		if pr.atMS <= now {
			tl.removeRunning(pr.ct)
			continue
		}
		left = append(left, pr)
	}
	tl.pendingReleases = left
	for id, ln := range tl.out {
		if ln.expiryMS <= now {
			delete(tl.out, id)
		}
	}
}

// rollPeaks starts a new interval of the recent peaks.
func (tl *teamLimit) rollPeaks(now int64) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.expire(now)
	copy(tl.peaks[1:], tl.peaks[:])
	tl.peaks[0] = tl.totalRunning()
	if !tl.starved(now) {
		tl.denied = 0
	}
	tl.reducedPartTicks++
	if tl.reducedPartTicks > reducedPartMaxTicks {
		tl.reducedPart = 0
	}
}

func (tl *teamLimit) recordDenied(now int64) {
	tl.denied++
	tl.deniedMS = now
}

func (tl *teamLimit) report(now int64, reachable map[string]bool) *limitpb.Report {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.expire(now)
	rep := &limitpb.Report{
		Team: tl.team, Limit: tl.limit, Part: tl.part, Running: tl.totalRunning(),
		Lent: tl.lent(), Idle: max(0, tl.idle()), Late: int64(len(tl.pendingReleases)), Free: tl.limit,
	}
	for _, ln := range tl.in {
		rep.Borrowed += ln.units
	}
	for _, pt := range tl.row.GetParts() {
		rep.Free -= pt.GetUnits()
		if !reachable[pt.GetHolder()] {
			rep.OutOfReach += pt.GetUnits()
		}
	}
	return rep
}

func (ln *loanIn) free() int64 {
	if ln.ls.Check() != nil {
		return 0
	}
	return max(0, ln.units-ln.running)
}
