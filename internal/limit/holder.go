package limit

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/internal/unit"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Holder is one entry's side of the upper limits of one kind of work; it is safe for concurrent use.
type Holder struct {
	ck          *clock.Clock
	tc          *table.Client
	kind        string
	incarnation string

	// peers lists the incarnations in reach; lend and giveBack speak to one of them; gone reports an incarnation that ended for good.
	peers    func() []string
	lend     func(ctx context.Context, lender string, req *limitpb.LendRequest) (*limitpb.LendReply, error)
	giveBack func(ctx context.Context, lender string, req *limitpb.ReturnRequest) error
	gone     func(incarnation string) bool
	// expected returns how many entries the fleet should have.
	expected func() int64

	mu          sync.RWMutex
	shares      map[string]*share
	version     uint64
	loanMS      int64
	longestMS   int64
	leaving     bool
	seq         uint64
	tableDownMS int64
	readMS      int64
	urgentMS    int64
	goneSeen    map[string]int64
	peerDown    map[string]int64

	// skip turns one rule off in tests that show that the checks can fail.
	skip string
}

const (
	keyPrefix = "limit/"

	askTimeoutMS   = 50
	tableTimeoutMS = 300
	tablePauseMS   = 1000
	peerPauseMS    = 1000
	refreshMS      = 60_000
)

// New returns a holder without units that knows no peers; work is refused until Adopt names the limits.
func New(ck *clock.Clock, tc *table.Client, kind, incarnation string) *Holder {
	return &Holder{
		ck: ck, tc: tc, kind: kind, incarnation: incarnation,
		peers:    func() []string { return nil },
		gone:     func(string) bool { return false },
		expected: func() int64 { return 1 },
		shares:   map[string]*share{},
		goneSeen: map[string]int64{},
		peerDown: map[string]int64{},
	}
}

// Connect sets the functions that reach other entries; call it before the first Tick.
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

// SetExpectedEntries installs a function that tells how many entries the fleet should have, whether in reach or not; call it before the first Tick.
func (hd *Holder) SetExpectedEntries(expected func() int64) { hd.expected = expected }

// Adopt puts the limits of a newer bundle into force on this entry; units above a cut limit take no new work from this moment on.
func (hd *Holder) Adopt(version uint64, limits map[string]int64, loanMS, longestMS int64) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if version <= hd.version {
		return
	}
	next := version == hd.version+1
	hd.version = version
	hd.loanMS = loanMS
	hd.longestMS = longestMS
	for team := range limits {
		if hd.shares[team] == nil {
			hd.shares[team] = newShare(team)
		}
	}
	for team, sh := range hd.shares {
		sh.adopt(version, limits[team], next || hd.skip == "version-gap", hd.skip != "settle-cut")
	}
}

// Acquire returns a unit for work that ends within the given longest run, without any call while units are there; an error of code LimitReached means that none could be had.
func (hd *Holder) Acquire(ctx context.Context, team string, longestMS int64) (*unit.Unit, error) {
	sh := hd.share(team)
	if sh == nil {
		return nil, code.LimitReached.New("team %s has no limit in the bundle", team)
	}
	if un := hd.try(sh, longestMS); un != nil {
		return un, nil
	}
	return hd.refill(ctx, sh, longestMS)
}

// Drain makes the holder give everything back as work ends; it takes and borrows nothing from then on.
func (hd *Holder) Drain() {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.leaving = true
}

// Empty reports whether nothing of any limit is left with this entry.
func (hd *Holder) Empty() bool {
	for _, sh := range hd.all() {
		sh.mu.Lock()
		empty := sh.part == 0 && sh.running == 0 && len(sh.in) == 0 && len(sh.doubts) == 0
		sh.mu.Unlock()
		if !empty {
			return false
		}
	}
	return true
}

// Reports tells how the entry stands with each team, sorted by team.
func (hd *Holder) Reports() []*limitpb.Report {
	reach := hd.inReach()
	now := hd.ck.Now()
	var list []*limitpb.Report
	for _, sh := range hd.all() {
		list = append(list, sh.report(now, reach))
	}
	return list
}

func (hd *Holder) try(sh *share, longestMS int64) *unit.Unit {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := hd.ck.Now()
	if sh.freeOwn(now) <= 0 || longestMS > sh.holdMS {
		sh.sweep(now)
	}
	if sh.freeOwn(now) > 0 && longestMS <= sh.holdMS {
		return hd.ownUnit(sh, longestMS)
	}
	for _, ln := range sh.in {
		if ln.free() > 0 && longestMS <= ln.longestMS {
			return hd.loanUnit(sh, ln, longestMS)
		}
	}
	return nil
}

func (hd *Holder) ownUnit(sh *share, longestMS int64) *unit.Unit {
	ct := &charge{}
	sh.start(ct)
	return unit.New(
		func() error { return sh.checkCut(ct) },
		func() { sh.finish(ct) },
		func(sentMS int64) { sh.finishLate(ct, sentMS, longestMS, hd.ck.Now()) },
	)
}

func (hd *Holder) loanUnit(sh *share, ln *loanIn, longestMS int64) *unit.Unit {
	ct := &charge{ln: ln}
	sh.start(ct)
	return unit.New(
		func() error { return hd.checkLoan(sh, ct) },
		func() { sh.finish(ct) },
		func(sentMS int64) { sh.finishLate(ct, sentMS, longestMS, hd.ck.Now()) },
	)
}

func (hd *Holder) checkLoan(sh *share, ct *charge) error {
	if err := sh.checkCut(ct); err != nil {
		return err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if ct.ln == nil || ct.ln.merged || hd.skip == "check-loan" {
		return nil
	}
	return ct.ln.ls.Check()
}

func (hd *Holder) share(team string) *share {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return hd.shares[team]
}

func (hd *Holder) all() []*share {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	list := make([]*share, 0, len(hd.shares))
	for _, sh := range hd.shares {
		list = append(list, sh)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].team < list[j].team })
	return list
}

func (hd *Holder) inReach() map[string]bool {
	reach := map[string]bool{hd.incarnation: true}
	for _, inc := range hd.peers() {
		reach[inc] = true
	}
	return reach
}

func (hd *Holder) key(team string) string { return keyPrefix + hd.kind + "/" + team }

func (hd *Holder) nextID() string {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.seq++
	return fmt.Sprintf("%s-%s-%d", hd.incarnation, hd.kind, hd.seq)
}

func (hd *Holder) timing() (loanMS, longestMS int64, leaving bool) {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return hd.loanMS, hd.longestMS, hd.leaving
}

// TryAcquire returns a unit if one is there, nil otherwise; it never waits, and a miss counts as demand.
func (hd *Holder) TryAcquire(team string, longestMS int64) *unit.Unit {
	sh := hd.share(team)
	if sh == nil {
		return nil
	}
	un := hd.try(sh, longestMS)
	if un == nil {
		sh.mu.Lock()
		sh.deny(hd.ck.Now())
		sh.mu.Unlock()
	}
	return un
}

// Holding returns how many units of a team this entry may use now, busy or not.
func (hd *Holder) Holding(team string) int64 {
	sh := hd.share(team)
	if sh == nil {
		return 0
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.holding()
}
