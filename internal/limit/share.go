package limit

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// share is this entry's state for one team's limit.
type share struct {
	mu            sync.Mutex
	team          string
	limit         int64
	bundleVersion uint64

	// part is the lowest number of units that the row can give this entry, whatever became of writes in doubt; admissible is how many of them may admit new work.
	part       int64
	admissible int64
	holdMS     int64
	// reducing is set from a limit reduction until the row is rewritten; reducedPart is the part that the entry keeps meanwhile.
	reducing         bool
	reducedPart      int64
	reducedPartTicks int
	reductions       atomic.Uint64
	running          int64
	out              map[string]*loanOut
	in               []*loanIn
	pendingReleases  []pendingRelease
	abandoned        []loanRef

	row        *limitpb.Row
	rowVersion uint64
	rowKnown   bool
	rowReadMS  int64
	inDoubt    []uint64
	writing    bool

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

type loanOut struct {
	units      int64
	borrower   string
	sinceMS    int64
	creditMS   int64
	extensions int
}

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
	// merged is set once the lender has converted the loan and its units count to the own part.
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

func newShare(team string) *share {
	return &share{team: team, out: map[string]*loanOut{}}
}

// adopt sets a new limit. When the limit is reduced, or may have been reduced in a version that was skipped, the units held admit no new work until the row shows that all parts fit into the new limit. next reports that no version was skipped; strict is false only in tests.
func (sh *share) adopt(version uint64, limit int64, next, strict bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if strict && (!next || limit < sh.limit) {
		sh.reducedPart = sh.scaledPart(limit, next)
		sh.reducedPartTicks = 0
		sh.reducing = true
		sh.admissible = 0
		sh.reductions.Add(1)
		for _, ln := range sh.in {
			ln.ended = true
			ln.ls.End()
		}
	}
	sh.limit = limit
	sh.bundleVersion = version
	sh.refillRetryMS = 0
	sh.backoffMS = 0
}

// scaledPart returns the own part scaled to a reduced limit, 0 when bundle versions in between were skipped.
func (sh *share) scaledPart(limit int64, next bool) int64 {
	if !next || sh.limit == 0 {
		return 0
	}
	from := sh.part
	if sh.reducing {
		from = sh.reducedPart
	}
	return from * limit / sh.limit
}

func (sh *share) lent() int64 {
	var sum int64
	for _, ln := range sh.out {
		sum += ln.units
	}
	return sum
}

// inUse counts the units of the own part that are running or lent.
func (sh *share) inUse() int64 { return sh.running + sh.lent() }

func (sh *share) idle() int64 { return min(sh.part, sh.admissible) - sh.inUse() }

// freeOwn counts the idle units of the own part that aren't reserved for a borrower.
func (sh *share) freeOwn(now int64) int64 {
	if now < sh.reserveEndMS {
		return sh.idle() - sh.reserve
	}
	return sh.idle()
}

// holding counts the units that this entry may use, including those in use.
func (sh *share) holding() int64 {
	sum := min(sh.part, sh.admissible) - sh.lent()
	for _, ln := range sh.in {
		sum += ln.running + ln.free()
	}
	return max(0, sum)
}

func (sh *share) totalRunning() int64 {
	sum := sh.running
	for _, ln := range sh.in {
		sum += ln.running
	}
	return sum
}

func (sh *share) starved(now int64) bool { return sh.denied > 0 && now-sh.deniedMS < starvedMS }

// spare counts the idle units beyond the recent peak of this entry's own work.
func (sh *share) spare(now int64) int64 {
	if sh.starved(now) {
		return 0
	}
	peak := sh.totalRunning()
	for _, seen := range sh.peaks {
		peak = max(peak, seen)
	}
	return max(0, sh.idle()-(peak-sh.totalRunning()))
}

func (sh *share) addRunning(ct *charge) {
	ct.reductions = sh.reductions.Load()
	if ct.ln == nil {
		sh.running++
	} else {
		ct.ln.running++
	}
	sh.peaks[0] = max(sh.peaks[0], sh.totalRunning())
}

// checkReduction refuses work that was admitted before the last limit reduction and hasn't started.
func (sh *share) checkReduction(ct *charge) error {
	if ct.reductions == sh.reductions.Load() {
		return nil
	}
	return code.LeaseLapsed.New("limit of team %s was reduced", sh.team)
}

func (sh *share) release(ct *charge) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.removeRunning(ct)
}

func (sh *share) removeRunning(ct *charge) {
	if ct.ln == nil || ct.ln.merged {
		sh.running--
		return
	}
	ct.ln.running--
}

func (sh *share) releaseAfter(ct *charge, sentMS, maxRunMS, now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	at := sentMS + lease.ExpiredAfterMS(maxRunMS)
	if at <= now {
		sh.removeRunning(ct)
		return
	}
	sh.pendingReleases = append(sh.pendingReleases, pendingRelease{atMS: at, ct: ct})
}

// expire frees units whose time has passed: those of work with an unknown outcome and those of loans that were never returned.
func (sh *share) expire(now int64) {
	left := sh.pendingReleases[:0]
	for _, end := range sh.pendingReleases {
		if end.atMS <= now {
			sh.removeRunning(end.ct)
			continue
		}
		left = append(left, end)
	}
	sh.pendingReleases = left
	for id, ln := range sh.out {
		if ln.creditMS <= now {
			delete(sh.out, id)
		}
	}
}

// rollPeaks starts a new interval of the recent peaks.
func (sh *share) rollPeaks(now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	copy(sh.peaks[1:], sh.peaks[:])
	sh.peaks[0] = sh.totalRunning()
	if !sh.starved(now) {
		sh.denied = 0
	}
	sh.reducedPartTicks++
	if sh.reducedPartTicks > reducedPartMaxTicks {
		sh.reducedPart = 0
	}
}

func (sh *share) recordDenied(now int64) {
	sh.denied++
	sh.deniedMS = now
}

func (sh *share) report(now int64, reachable map[string]bool) *limitpb.Report {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	rep := &limitpb.Report{
		Team: sh.team, Limit: sh.limit, Part: sh.part, Running: sh.totalRunning(),
		Lent: sh.lent(), Idle: max(0, sh.idle()), Late: int64(len(sh.pendingReleases)), Free: sh.limit,
	}
	for _, ln := range sh.in {
		rep.Borrowed += ln.units
	}
	for _, pt := range sh.row.GetParts() {
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
