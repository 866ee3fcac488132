package operatorfeed

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/admission"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Names tells where the operators write and how to decode it.
type Names struct {
	Table       string
	RulesKey    string
	IsWave      func(key string) bool
	DecodeRules func(raw []byte) (*workpb.Rules, error)
	DecodeWave  func(raw []byte) (*workpb.Wave, error)
}

// Feed follows the operators' rows.
type Feed struct {
	st *rowstore.Store
	ck *clock.Clock
	lg *event.Log
	nm Names
	ad *admission.Admission

	mu    sync.Mutex
	waves map[string]*workpb.Wave
}

const (
	// waitMS is how long the store waits for a change; each answer proves that the rules are the newest.
	waitMS = 1000
	part   = ""
)

// New returns a feed that hands the rules to an admission.
func New(st *rowstore.Store, ck *clock.Clock, lg *event.Log, nm Names, ad *admission.Admission) *Feed {
	return &Feed{st: st, ck: ck, lg: lg, nm: nm, ad: ad, waves: map[string]*workpb.Wave{}}
}

// Run follows until the context ends.
func (fd *Feed) Run(ctx context.Context) {
	rf := rowfeed.New(fd.st, fd.ck, fd.nm.Table, waitMS, func(ctx context.Context) ([]rowstore.Row, int64, error) {
		return fd.st.ReadAll(ctx, fd.nm.Table, part)
	})
	rf.OnOutage = func(err error) { fd.lg.Fail("operators-feed-lost", err, "rules-age-ms", fd.ad.AgeMS()) }
	rf.OnRecovery = func(version int64) { fd.lg.Info("operators-feed-regained", "version", version) }
	rf.Run(ctx, func(ch rowfeed.Change) {
		fd.take(ch.Rows())
		fd.ad.ConfirmCurrent(ch.SentMS())
	})
}

func (fd *Feed) take(list []rowstore.Row) {
	for _, rw := range list {
		switch {
		case rw.Key() == fd.nm.RulesKey && !rw.Deleted():
			fd.takeRules(rw.Value())
		case fd.nm.IsWave(rw.Key()):
			fd.takeWave(rw)
		}
	}
}

func (fd *Feed) takeRules(raw []byte) {
	rules, err := fd.nm.DecodeRules(raw)
	if err != nil {
		fd.lg.Fail("rules-unreadable", err)
		return
	}
	if fd.ad.SetRules(rulesindex.New(rules)) {
		fd.lg.Info("rules-in-force", "version", rules.GetVersion(), "queues", len(rules.GetQueues()), "teams", len(rules.GetTeams()))
	}
}

func (fd *Feed) takeWave(rw rowstore.Row) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if rw.Deleted() {
		delete(fd.waves, rw.Key())
		return
	}
	wave, err := fd.nm.DecodeWave(rw.Value())
	if err != nil {
		fd.lg.Fail("wave-unreadable", err, "key", rw.Key())
		return
	}
	fd.waves[rw.Key()] = wave
}

// Waves returns the waves that the operators ask for.
func (fd *Feed) Waves() []*workpb.Wave {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	list := make([]*workpb.Wave, 0, len(fd.waves))
	for _, wave := range fd.waves {
		list = append(list, wave)
	}
	return list
}
