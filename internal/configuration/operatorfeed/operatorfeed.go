package operatorfeed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/admission"
	"github.com/fulmarloft/fulmarloft/internal/store/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// Schema describes where the operators' rows are stored and how they are decoded.
type Schema struct {
	Table    string
	RulesKey string
	// IsWave reports whether a key is that of a wave.
	IsWave func(key string) bool
	// EvacuatedZone returns the availability zone that a row with this key evacuates, for as long as the row exists.
	EvacuatedZone func(key string) (zone string, ok bool)
	DecodeRules   func(raw []byte) (*workpb.Rules, error)
	DecodeWave    func(raw []byte) (*workpb.Wave, error)
}

// Feed follows the operators' rows and puts new rules into force.
type Feed struct {
	st *rowstore.Store
	ck *clock.Clock
	lg *event.Log
	sc Schema
	ad *admission.Admission

	mu    sync.Mutex
	waves map[string]*workpb.Wave
	// evacuated holds the evacuated zones; it is replaced at each change.
	evacuated map[string]bool
}

const (
	// pollWaitMS is how long the store may wait for a change before it answers; each answer confirms that the rules are the newest.
	pollWaitMS = 1000
	// partition is the unnamed partition, in which operators write all their rows.
	partition = ""
)

// New returns a feed that passes the rules to the admission.
func New(st *rowstore.Store, ck *clock.Clock, lg *event.Log, sc Schema, ad *admission.Admission) *Feed {
	return &Feed{st: st, ck: ck, lg: lg, sc: sc, ad: ad, waves: map[string]*workpb.Wave{}, evacuated: map[string]bool{}}
}

// Run follows the rows until the context ends.
func (fd *Feed) Run(ctx context.Context) {
	rf := rowfeed.New(fd.st, fd.ck, fd.sc.Table, pollWaitMS, func(ctx context.Context) ([]rowstore.Row, int64, error) {
		return fd.st.ReadAll(ctx, fd.sc.Table, partition)
	})
	rf.OnOutage = func(err error) { fd.lg.Fail("operators-feed-lost", err, "rules-age-ms", fd.ad.AgeMS()) }
	rf.OnRecovery = func(version int64) { fd.lg.Info("operators-feed-regained", "version", version) }
	rf.Run(ctx, func(ch rowfeed.Change) {
		if ch.Complete() {
			fd.keepWaves(ch.Rows())
		}
		fd.apply(ch)
		fd.applyEvacuations(ch)
		fd.ad.ConfirmCurrent(ch.SentMS())
	})
}

func (fd *Feed) apply(ch rowfeed.Change) {
	for _, rw := range ch.Rows() {
		switch {
		case rw.Key() == fd.sc.RulesKey && !rw.Deleted():
			fd.applyRules(rw.Value(), ch)
		case fd.sc.IsWave(rw.Key()):
			fd.applyWave(rw)
		}
	}
}

func (fd *Feed) applyRules(raw []byte, ch rowfeed.Change) {
	rules, err := fd.sc.DecodeRules(raw)
	if err != nil {
		fd.lg.Fail("rules-unreadable", err)
		return
	}
	if fd.ad.SetRules(rulesindex.New(rules)) {
		fd.lg.Info("rules-in-force", "version", rules.GetVersion(), "queues", len(rules.GetQueues()), "teams", len(rules.GetTeams()),
			"row-bytes", len(raw), "received-bytes", ch.Bytes())
	}
}

func (fd *Feed) applyWave(rw rowstore.Row) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if rw.Deleted() {
		delete(fd.waves, rw.Key())
		return
	}
	wave, err := fd.sc.DecodeWave(rw.Value())
	if err != nil {
		fd.lg.Fail("wave-unreadable", err, "key", rw.Key())
		return
	}
	fd.waves[rw.Key()] = wave
}

// keepWaves drops the waves that a complete list lacks.
func (fd *Feed) keepWaves(list []rowstore.Row) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	maps.DeleteFunc(fd.waves, func(key string, _ *workpb.Wave) bool {
		return !slices.ContainsFunc(list, func(rw rowstore.Row) bool { return rw.Key() == key })
	})
}

// Waves returns the waves that the operators have requested, in no particular order.
func (fd *Feed) Waves() []*workpb.Wave {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	list := make([]*workpb.Wave, 0, len(fd.waves))
	for _, wave := range fd.waves {
		list = append(list, wave)
	}
	return list
}

// applyEvacuations takes up the zones that are evacuated or taken back; a complete list names all that are evacuated.
func (fd *Feed) applyEvacuations(ch rowfeed.Change) {
	zones := map[string]bool{}
	if !ch.Complete() {
		maps.Copy(zones, fd.EvacuatedZones())
	}
	for _, rw := range ch.Rows() {
		zone, ok := fd.sc.EvacuatedZone(rw.Key())
		switch {
		case !ok:
		case rw.Deleted():
			delete(zones, zone)
		default:
			zones[zone] = true
		}
	}
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if !maps.Equal(zones, fd.evacuated) {
		fd.lg.Info("zones-evacuated", "zones", strings.Join(slices.Sorted(maps.Keys(zones)), ","))
		fd.evacuated = zones
	}
}

// EvacuatedZones returns the availability zones in which nothing may be started; the map must not be changed.
func (fd *Feed) EvacuatedZones() map[string]bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return fd.evacuated
}
