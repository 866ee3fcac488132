package limit

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// share is what one entry holds of one team's limit.
type share struct {
	mu      sync.Mutex
	team    string
	limit   int64
	version uint64

	// part is the least that the row can say this entry holds; limitCap is what of it may take new work.
	part     int64
	limitCap int64
	holdMS   int64
	// settle is set until the row was rewritten after a cut; target is the part that is kept meanwhile.
	settle      bool
	target      int64
	targetTicks int
	cuts        atomic.Uint64
	running     int64
	out         map[string]*loanOut
	in          []*loanIn
	ending      []lapsing
	forgone     []loanRef

	row        *limitpb.Row
	rowVersion uint64
	rowKnown   bool
	rowMS      int64
	doubts     []uint64
	writing    bool

	peaks     [peakTicks]int64
	denied    int64
	deniedMS  int64
	quietMS   int64
	backoffMS int64
	reserve   int64
	reserveMS int64
	turn      int
	refilled  chan struct{}
}

type loanOut struct {
	units    int64
	borrower string
	sinceMS  int64
	creditMS int64
	extended int
}

type loanIn struct {
	id        string
	lender    string
	units     int64
	told      int64
	lengthMS  int64
	running   int64
	longestMS int64
	ls        *lease.Lease
	// merged is set once the lender turned the loan into units of the own part.
	merged bool
	// ended is set when the limit fell; the loan is not extended any more.
	ended bool
}

type loanRef struct{ lender, id string }

// charge names what a running unit counts against, nil for the entry's own part.
type charge struct {
	ln   *loanIn
	cuts uint64
}

// lapsing is a unit whose work has surely ended at the given time.
type lapsing struct {
	at int64
	ct *charge
}

const (
	peakTicks = 3
	// The fair rest after a cut is given up when the parts still don't fit after so many ticks.
	targetKeepTicks = 20
	hungryMS        = 2000
	backoffMinMS    = 20
	backoffMaxMS    = 500
)

func newShare(team string) *share {
	return &share{team: team, out: map[string]*loanOut{}}
}

// adopt stops new work under the units held when the limit falls, or may have fallen in a version that was skipped, until the row shows that all parts fit into the new limit.
func (sh *share) adopt(version uint64, limit int64, next, strict bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if strict && (!next || limit < sh.limit) {
		sh.target = sh.scaled(limit, next)
		sh.targetTicks = 0
		sh.settle = true
		sh.limitCap = 0
		sh.cuts.Add(1)
		for _, ln := range sh.in {
			ln.ended = true
			ln.ls.End()
		}
	}
	sh.limit = limit
	sh.version = version
	sh.quietMS = 0
	sh.backoffMS = 0
}

// scaled returns the fair rest of the own part under a cut limit, 0 when the versions between aren't known.
func (sh *share) scaled(limit int64, next bool) int64 {
	if !next || sh.limit == 0 {
		return 0
	}
	from := sh.part
	if sh.settle {
		from = sh.target
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

// inUse counts the units of the own part that can't be given away.
func (sh *share) inUse() int64 { return sh.running + sh.lent() }

func (sh *share) idle() int64 { return min(sh.part, sh.limitCap) - sh.inUse() }

// freeOwn counts the units of the own part that this entry itself may use.
func (sh *share) freeOwn(now int64) int64 {
	if now < sh.reserveMS {
		return sh.idle() - sh.reserve
	}
	return sh.idle()
}

// holding counts the units that this entry may use, busy or not.
func (sh *share) holding() int64 {
	sum := min(sh.part, sh.limitCap) - sh.lent()
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

func (sh *share) hungry(now int64) bool { return sh.denied > 0 && now-sh.deniedMS < hungryMS }

// spare counts the idle units beyond the recent peak of this entry's own work.
func (sh *share) spare(now int64) int64 {
	if sh.hungry(now) {
		return 0
	}
	peak := sh.totalRunning()
	for _, seen := range sh.peaks {
		peak = max(peak, seen)
	}
	return max(0, sh.idle()-(peak-sh.totalRunning()))
}

func (sh *share) start(ct *charge) {
	ct.cuts = sh.cuts.Load()
	if ct.ln == nil {
		sh.running++
	} else {
		ct.ln.running++
	}
	sh.peaks[0] = max(sh.peaks[0], sh.totalRunning())
}

// checkCut refuses work that was admitted under a limit that has fallen since and did not start yet.
func (sh *share) checkCut(ct *charge) error {
	if ct.cuts == sh.cuts.Load() {
		return nil
	}
	return code.LeaseLapsed.New("limit of team %s fell", sh.team)
}

func (sh *share) finish(ct *charge) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.stop(ct)
}

func (sh *share) stop(ct *charge) {
	if ct.ln == nil || ct.ln.merged {
		sh.running--
		return
	}
	ct.ln.running--
}

func (sh *share) finishLate(ct *charge, sentMS, longestMS, now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	at := sentMS + lease.ExpiredAfterMS(longestMS)
	if at <= now {
		sh.stop(ct)
		return
	}
	sh.ending = append(sh.ending, lapsing{at: at, ct: ct})
}

// sweep frees units whose time has passed: unknown outcomes, and loans that were never returned.
func (sh *share) sweep(now int64) {
	left := sh.ending[:0]
	for _, end := range sh.ending {
		if end.at <= now {
			sh.stop(end.ct)
			continue
		}
		left = append(left, end)
	}
	sh.ending = left
	for id, ln := range sh.out {
		if ln.creditMS <= now {
			delete(sh.out, id)
		}
	}
}

// roll starts a new interval of the recent peak.
func (sh *share) roll(now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sweep(now)
	copy(sh.peaks[1:], sh.peaks[:])
	sh.peaks[0] = sh.totalRunning()
	if !sh.hungry(now) {
		sh.denied = 0
	}
	sh.targetTicks++
	if sh.targetTicks > targetKeepTicks {
		sh.target = 0
	}
}

func (sh *share) deny(now int64) {
	sh.denied++
	sh.deniedMS = now
}

func (sh *share) report(now int64, reach map[string]bool) *limitpb.Report {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sweep(now)
	rep := &limitpb.Report{
		Team: sh.team, Limit: sh.limit, Part: sh.part, Running: sh.totalRunning(),
		Lent: sh.lent(), Idle: max(0, sh.idle()), Late: int64(len(sh.ending)), Free: sh.limit,
	}
	for _, ln := range sh.in {
		rep.Borrowed += ln.units
	}
	for _, pt := range sh.row.GetParts() {
		rep.Free -= pt.GetUnits()
		if !reach[pt.GetHolder()] {
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
