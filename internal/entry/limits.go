package entry

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/limits/limit"
	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	kindRequests            = "requests"
	limitsTickIntervalMS    = 500
	limitsAcquireIntervalMS = 50
	limitsDrainIntervalMS   = 100
	limitsDrainTimeoutMS    = 5000
	// assumedEntries is the number of entries assumed before the first VM list.
	assumedEntries = 28
	unlimited      = math.MaxInt32
)

type dispatchFunc func(ctx context.Context, req *callpb.Request) *callpb.Answer

// limitsPart holds this entry's parts of the teams' concurrency limits on requests.
type limitsPart struct {
	hd *limit.Holder
	// adopted is the version of the bundle whose limits are in force.
	adopted atomic.Uint64

	mu sync.Mutex
	// missed maps each team whose requests wait for a unit to the largest maximum run time among them.
	missed map[string]int64
}

func (en *Entry) wireLimits() error {
	lm := &en.limits
	lm.hd = limit.New(en.ck, en.tab, kindRequests, en.incarnation)
	lm.missed = map[string]int64{}
	lm.hd.SetExpectedEntries(func() int64 { return int64(en.tableUsers()) })
	lm.hd.Connect(en.limitPeers, en.callLend, en.callReturn, en.processGone)
	if err := limitpb.DRPCRegisterLimit(en.cluster.pr.Mux(), lm.hd); err != nil {
		return code.Internal.Wrap(err)
	}
	en.every(limitsTickIntervalMS, "limits", func(ctx context.Context) error {
		en.adoptLimits()
		lm.hd.Tick(ctx)
		en.reportLimits()
		return nil
	})
	en.every(limitsAcquireIntervalMS, "limits-seek", func(ctx context.Context) error {
		if en.adoptLimits() {
			lm.hd.Tick(ctx)
		}
		en.acquireMissedUnits(ctx)
		return nil
	})
	return nil
}

// aliveMembers returns the other registered entries that are considered alive.
func (en *Entry) aliveMembers() []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range en.cluster.ag.Members() {
		if mb.GetIncarnation() != en.incarnation && en.cluster.ag.View().State(mb.GetIncarnation()) == liveness.Alive {
			list = append(list, mb)
		}
	}
	return list
}

// adoptLimits puts the limits of a newer bundle into force on this entry, and reports whether there was one; it must be called before each unit is acquired.
func (en *Entry) adoptLimits() bool {
	bd := en.Bundle()
	if bd == nil || bd.Version() <= en.limits.adopted.Load() {
		return false
	}
	limits := map[string]int64{}
	for _, tm := range bd.Teams() {
		limits[tm.Name()] = int64(tm.Limit())
	}
	en.limits.hd.Adopt(bd.Version(), limits, bd.LoanLeaseMS(), bd.MaxRunMS())
	en.limits.adopted.Store(bd.Version())
	return true
}

// acquireUnit acquires a unit of a team's limit, or returns nil functions if none is free; release keeps the unit in use for as long as the request may still be running.
func (en *Entry) acquireUnit(team string, maxRunMS int64) (check func() error, release func(sentMS int64)) {
	en.adoptLimits()
	un := en.limits.hd.TryAcquire(team, maxRunMS)
	if un == nil {
		en.dataPath.blocked.Store(true)
		en.limits.recordMiss(team, maxRunMS)
		return nil, nil
	}
	var checkedMS atomic.Int64
	check = func() error {
		en.adoptLimits()
		checkedMS.Store(en.ck.Now())
		return checkUnit(un)
	}
	return check, func(sentMS int64) { en.releaseUnit(un.Release, un.ReleaseUnknown, sentMS, checkedMS.Load()) }
}

// checkUnit returns an error of code LimitReached with the reason if no request may start under the unit any more.
func checkUnit(un *unit.Unit) error {
	if err := un.Check(); err != nil {
		return code.LimitReached.Wrap(err)
	}
	return nil
}

// releaseUnit releases a unit. A request that may still be running (sentMS above 0) counts as sent at the last check, if that is later, since the check comes right before the first byte.
func (en *Entry) releaseUnit(release func(), releaseUnknown func(sentMS int64), sentMS, checkedMS int64) {
	if sentMS > 0 {
		releaseUnknown(max(sentMS, checkedMS))
		return
	}
	release()
	if en.dataPath.blocked.Swap(false) {
		en.wakeAll()
	}
}

// localLimit returns how many requests of a team may run at this entry: the units held, but at least an equal part of the limit and at least 1. Requests without a key are unlimited.
func (en *Entry) localLimit(team string) int {
	if team == "" {
		return unlimited
	}
	equalPart := teamLimit(en.Bundle(), team) / max(en.countEntries(), 1)
	return max(int(en.limits.hd.Holding(team)), equalPart, 1)
}

// recordMiss records that a request of the team found no free unit.
func (lm *limitsPart) recordMiss(team string, maxRunMS int64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.missed[team] = max(lm.missed[team], maxRunMS)
}

// takeMissed returns the recorded misses and clears them.
func (lm *limitsPart) takeMissed() map[string]int64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	missed := lm.missed
	lm.missed = map[string]int64{}
	return missed
}

// acquireMissedUnits makes the holder take or borrow a unit for each team whose requests wait for one, and wakes all queues.
func (en *Entry) acquireMissedUnits(ctx context.Context) {
	missed := en.limits.takeMissed()
	if len(missed) == 0 {
		return
	}
	var wg sync.WaitGroup
	for team, maxRunMS := range missed {
		wg.Go(func() {
			un, err := en.limits.hd.Acquire(ctx, team, maxRunMS)
			if err != nil {
				en.mt.Count(1, "limit", team, "not-found")
				return
			}
			un.Release()
		})
	}
	wg.Wait()
	en.dataPath.blocked.Store(false)
	en.wakeAll()
}

func (en *Entry) limitPeers() []string {
	var list []string
	for _, mb := range en.aliveMembers() {
		list = append(list, mb.GetIncarnation())
	}
	return list
}

func (en *Entry) peerClient(incarnation string) (limitpb.DRPCLimitClient, error) {
	for _, mb := range en.aliveMembers() {
		if mb.GetIncarnation() == incarnation {
			return limitpb.NewDRPCLimitClient(en.peerConn(mb.GetPeerAddress())), nil
		}
	}
	return nil, code.PeerUnreachable.New("entry %s is not registered or not alive", incarnation)
}

func (en *Entry) callLend(ctx context.Context, lender string, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	cl, err := en.peerClient(lender)
	if err != nil {
		return nil, err
	}
	en.mt.Count(1, "limit", "lend-calls")
	return cl.Lend(ctx, req)
}

func (en *Entry) callReturn(ctx context.Context, lender string, req *limitpb.ReturnRequest) error {
	cl, err := en.peerClient(lender)
	if err != nil {
		return err
	}
	en.mt.Count(1, "limit", "return-calls")
	_, err = cl.Return(ctx, req)
	return err
}

// processGone is like vmGone, but also reports earlier processes of this VM as ended if the peer port is fixed: this process couldn't listen on the port while they ran.
func (en *Entry) processGone(incarnation string) bool {
	if en.vmGone(incarnation) {
		return true
	}
	vm, _, found := strings.Cut(incarnation, processSeparator)
	ownVM, _, _ := strings.Cut(en.incarnation, processSeparator)
	addr, err := netip.ParseAddrPort(en.st.Peer())
	return found && vm == ownVM && incarnation != en.incarnation && err == nil && addr.Port() != 0
}

func (en *Entry) reportLimits() {
	for _, rep := range en.limits.hd.Reports() {
		for _, gauge := range []struct {
			name string
			val  int64
		}{
			{"part", rep.GetPart()},
			{"running", rep.GetRunning()},
			{"idle", rep.GetIdle()},
			{"lent", rep.GetLent()},
			{"borrowed", rep.GetBorrowed()},
			{"late", rep.GetLate()},
			{"out-of-reach", rep.GetOutOfReach()},
		} {
			en.mt.Set(gauge.val, "limit", rep.GetTeam(), gauge.name)
		}
	}
}

// drainLimits returns units for up to limitsDrainTimeoutMS; what remains returns once the platform lists this VM as ended.
func (en *Entry) drainLimits(ctx context.Context) {
	ctx, cancel := en.ck.WithTimeout(ctx, limitsDrainTimeoutMS)
	defer cancel()
	en.limits.hd.Drain()
	en.limits.hd.Tick(ctx)
	for !en.limits.hd.Empty() && en.ck.Sleep(ctx, limitsDrainIntervalMS) == nil {
		en.limits.hd.Tick(ctx)
	}
}

func teamLimit(bd *bundle.Bundle, team string) int {
	for _, tm := range bd.Teams() {
		if tm.Name() == team {
			return tm.Limit()
		}
	}
	return 0
}

func refusedAnswer(req *callpb.Request, cd code.Code, retryMS int64) *callpb.Answer {
	return &callpb.Answer{
		Id: req.GetId(), Outcome: "not-run", Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: retryMS,
	}
}

// tableUsers returns the number of processes that share the table's call budget; before the first VM list it assumes a large fleet.
func (en *Entry) tableUsers() int {
	if cnt := en.countEntries(); cnt > 0 {
		return cnt
	}
	return assumedEntries
}

// countEntries returns the number of entry VMs that the platform lists.
func (en *Entry) countEntries() int {
	return len(en.vms.Kind(kindEntry))
}
