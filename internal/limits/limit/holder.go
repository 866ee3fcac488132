package limit

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Holder manages one entry's units of the concurrency limits for one kind of work; it is safe for concurrent use.
type Holder struct {
	ck          *clock.Clock
	tc          *table.Client
	kind        string
	incarnation string

	// peers lists the reachable incarnations; lend and giveBack call one of them; gone reports whether an incarnation ended permanently.
	peers    func() []string
	lend     func(ctx context.Context, lender string, req *limitpb.LendRequest) (*limitpb.LendReply, error)
	giveBack func(ctx context.Context, lender string, req *limitpb.ReturnRequest) error
	gone     func(incarnation string) bool
	// expectedEntries returns how many entries the fleet should have.
	expectedEntries func() int64

	mu            sync.RWMutex
	teams         map[string]*teamLimit
	bundleVersion uint64
	loanMS        int64
	maxRunMS      int64
	draining      bool
	seq           uint64
	tableRetryMS  int64
	// fullReadMS and urgentMS are the times of the last reads of all rows and of the urgent ones.
	fullReadMS  int64
	urgentMS    int64
	goneSinceMS map[string]int64
	peerRetryMS map[string]int64

	// disabledRule names a rule that tests switch off to show that their checks detect its absence.
	disabledRule string
}

const (
	keyPrefix = "limit/"

	peerTimeoutMS      = 50
	tableTimeoutMS     = 300
	tableRetryDelayMS  = 1000
	peerRetryDelayMS   = 1000
	fullReadIntervalMS = 60_000
)

// New returns a holder without units and peers; it refuses work until Adopt sets the limits.
func New(ck *clock.Clock, tc *table.Client, kind, incarnation string) *Holder {
	return &Holder{
		ck: ck, tc: tc, kind: kind, incarnation: incarnation,
		peers:           func() []string { return nil },
		gone:            func(string) bool { return false },
		expectedEntries: func() int64 { return 1 },
		teams:           map[string]*teamLimit{},
		goneSinceMS:     map[string]int64{},
		peerRetryMS:     map[string]int64{},
	}
}

// Connect sets the functions that call other entries; call it before the first Tick.
func (hd *Holder) Connect(
	peers func() []string,
	lend func(ctx context.Context, lender string, req *limitpb.LendRequest) (*limitpb.LendReply, error),
	giveBack func(ctx context.Context, lender string, req *limitpb.ReturnRequest) error,
	gone func(incarnation string) bool,
) {
	hd.peers = peers
	hd.lend = lend
	hd.giveBack = giveBack
	hd.gone = gone
}

// SetExpectedEntries sets the function that returns how many entries the fleet should have, reachable or not; call it before the first Tick.
func (hd *Holder) SetExpectedEntries(expected func() int64) { hd.expectedEntries = expected }

// Adopt applies the limits of a newer bundle to this entry; after a reduction, the units held admit no new work until the row shows that all parts fit.
func (hd *Holder) Adopt(version uint64, limits map[string]int64, loanMS, maxRunMS int64) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if version <= hd.bundleVersion {
		return
	}
	next := version == hd.bundleVersion+1
	hd.bundleVersion = version
	hd.loanMS = loanMS
	hd.maxRunMS = maxRunMS
	for team := range limits {
		if hd.teams[team] == nil {
			hd.teams[team] = newTeamLimit(team)
		}
	}
	for team, tl := range hd.teams {
		tl.adopt(version, limits[team], next || hd.disabledRule == "version-gap", hd.disabledRule != "settle-cut")
	}
}

// Acquire returns a unit for work that ends within maxRunMS, without a remote call while the entry has a free unit; an error of code LimitReached means that no unit is available.
func (hd *Holder) Acquire(ctx context.Context, team string, maxRunMS int64) (*unit.Unit, error) {
	tl := hd.limitOf(team)
	if tl == nil {
		return nil, code.LimitReached.New("team %s has no limit in the bundle", team)
	}
	if un := hd.tryAcquire(tl, maxRunMS); un != nil {
		return un, nil
	}
	return hd.refill(ctx, tl, maxRunMS)
}

// Drain makes the holder give its units back as work ends; it takes and borrows none from then on.
func (hd *Holder) Drain() {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.draining = true
}

// Empty reports whether this entry holds and uses no unit of any limit.
func (hd *Holder) Empty() bool {
	for _, tl := range hd.sortedTeams() {
		tl.mu.Lock()
		empty := tl.part == 0 && tl.running == 0 && len(tl.in) == 0 && len(tl.inDoubt) == 0
		tl.mu.Unlock()
		if !empty {
			return false
		}
	}
	return true
}

// Reports returns this entry's use of each team's limit, sorted by team.
func (hd *Holder) Reports() []*limitpb.Report {
	reachable := hd.reachable()
	now := hd.ck.Now()
	var list []*limitpb.Report
	for _, tl := range hd.sortedTeams() {
		list = append(list, tl.report(now, reachable))
	}
	return list
}

func (hd *Holder) tryAcquire(tl *teamLimit, maxRunMS int64) *unit.Unit {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	now := hd.ck.Now()
	if tl.freeOwn(now) <= 0 || maxRunMS > tl.holdMS {
		tl.expire(now)
	}
	if tl.freeOwn(now) > 0 && maxRunMS <= tl.holdMS {
		return hd.ownUnit(tl, maxRunMS)
	}
	for _, ln := range tl.in {
		if ln.free() > 0 && maxRunMS <= ln.maxRunMS {
			return hd.loanUnit(tl, ln, maxRunMS)
		}
	}
	return nil
}

func (hd *Holder) ownUnit(tl *teamLimit, maxRunMS int64) *unit.Unit {
	ct := &charge{}
	tl.addRunning(ct)
	return unit.New(
		func() error { return tl.checkReduction(ct) },
		func() { tl.release(ct) },
		func(sentMS int64) { tl.releaseAfter(ct, sentMS, maxRunMS, hd.ck.Now()) },
	)
}

func (hd *Holder) loanUnit(tl *teamLimit, ln *loanIn, maxRunMS int64) *unit.Unit {
	ct := &charge{ln: ln}
	tl.addRunning(ct)
	return unit.New(
		func() error { return hd.checkLoan(tl, ct) },
		func() { tl.release(ct) },
		func(sentMS int64) { tl.releaseAfter(ct, sentMS, maxRunMS, hd.ck.Now()) },
	)
}

func (hd *Holder) checkLoan(tl *teamLimit, ct *charge) error {
	if err := tl.checkReduction(ct); err != nil {
		return err
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if ct.ln == nil || ct.ln.merged || hd.disabledRule == "check-loan" {
		return nil
	}
	return ct.ln.ls.Check()
}

func (hd *Holder) limitOf(team string) *teamLimit {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return hd.teams[team]
}

func (hd *Holder) sortedTeams() []*teamLimit {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	list := make([]*teamLimit, 0, len(hd.teams))
	for _, tl := range hd.teams {
		list = append(list, tl)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].team < list[j].team })
	return list
}

func (hd *Holder) reachable() map[string]bool {
	set := map[string]bool{hd.incarnation: true}
	for _, inc := range hd.peers() {
		set[inc] = true
	}
	return set
}

func (hd *Holder) key(team string) string { return keyPrefix + hd.kind + "/" + team }

func (hd *Holder) nextID() string {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.seq++
	return fmt.Sprintf("%s-%s-%d", hd.incarnation, hd.kind, hd.seq)
}

func (hd *Holder) timing() (loanMS, maxRunMS int64, draining bool) {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return hd.loanMS, hd.maxRunMS, hd.draining
}

// TryAcquire returns a unit if this entry has a free one, nil otherwise; it makes no remote call, and a failure counts as demand.
func (hd *Holder) TryAcquire(team string, maxRunMS int64) *unit.Unit {
	tl := hd.limitOf(team)
	if tl == nil {
		return nil
	}
	un := hd.tryAcquire(tl, maxRunMS)
	if un == nil {
		tl.mu.Lock()
		tl.recordDenied(hd.ck.Now())
		tl.mu.Unlock()
	}
	return un
}

// Holding returns how many units of a team this entry may use now, including those in use.
func (hd *Holder) Holding(team string) int64 {
	tl := hd.limitOf(team)
	if tl == nil {
		return 0
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return tl.holding()
}
