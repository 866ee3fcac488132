package entry

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/limit"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/member"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	kindRequests      = "requests"
	limitsTickMS      = 500
	limitsSeekMS      = 50
	limitsDrainMS     = 100
	limitsDrainMostMS = 5000
	assumedEntries    = 28
	unlimited         = math.MaxInt32
)

type dispatchFunc func(ctx context.Context, req *callpb.Request) *callpb.Answer

// limitsPart holds this entry's parts of the teams' upper limits on requests.
type limitsPart struct {
	hd      *limit.Holder
	adopted atomic.Uint64

	mu     sync.Mutex
	wanted map[string]int64
}

func (en *Entry) wireLimits() error {
	lm := &en.limits
	lm.hd = limit.New(en.ck, en.tab, kindRequests, en.incarnation)
	lm.wanted = map[string]int64{}
	lm.hd.SetExpectedEntries(func() int64 { return int64(en.tableUsers()) })
	lm.hd.Connect(en.limitPeers, en.lendFrom, en.returnTo, en.limitGone)
	if err := limitpb.DRPCRegisterLimit(en.agree.pr.Mux(), lm.hd); err != nil {
		return code.Internal.Wrap(err)
	}
	en.every(limitsTickMS, "limits", func(ctx context.Context) error {
		en.adoptLimits()
		lm.hd.Tick(ctx)
		en.reportLimits()
		return nil
	})
	en.every(limitsSeekMS, "limits-seek", func(ctx context.Context) error {
		if en.adoptLimits() {
			lm.hd.Tick(ctx)
		}
		en.seekUnits(ctx)
		return nil
	})
	return nil
}

// limitMembers lists the other entries that answer.
func (en *Entry) limitMembers() []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range en.agree.ag.Members() {
		if mb.GetIncarnation() != en.incarnation && en.agree.ag.View().State(mb.GetIncarnation()) == member.Alive {
			list = append(list, mb)
		}
	}
	return list
}

// adoptLimits puts the limits of a newer bundle in force on this entry and reports whether there was one; the path calls it before each unit that it takes.
func (en *Entry) adoptLimits() bool {
	bd := en.Bundle()
	if bd == nil || bd.Version() <= en.limits.adopted.Load() {
		return false
	}
	limits := map[string]int64{}
	for _, tm := range bd.Teams() {
		limits[tm.Name()] = int64(tm.Limit())
	}
	en.limits.hd.Adopt(bd.Version(), limits, bd.LoanLeaseMS(), bd.LongestRunMS())
	en.limits.adopted.Store(bd.Version())
	return true
}

// takeUnit takes a unit of a team's limit; its release holds it until the request can't be running any more.
func (en *Entry) takeUnit(team string, longestMS int64) (check func() error, release func(sentMS int64)) {
	en.adoptLimits()
	un := en.limits.hd.TryAcquire(team, longestMS)
	if un == nil {
		en.path.blocked.Store(true)
		en.limits.want(team, longestMS)
		return nil, nil
	}
	var checkedMS atomic.Int64
	check = func() error {
		en.adoptLimits()
		checkedMS.Store(en.ck.Now())
		if un.Check() != nil {
			return code.LimitReached
		}
		return nil
	}
	return check, func(sentMS int64) { en.giveUnit(un.Release, un.ReleaseUnknown, sentMS, checkedMS.Load()) }
}

// giveUnit gives a unit back; what may still be running counts from the last check, which comes right before the first byte.
func (en *Entry) giveUnit(release func(), releaseUnknown func(sentMS int64), sentMS, checkedMS int64) {
	if sentMS > 0 {
		releaseUnknown(max(sentMS, checkedMS))
		return
	}
	release()
	if en.path.blocked.Swap(false) {
		en.wakeAll()
	}
}

// unitsHere returns how many requests of a team may run at this entry, or its equal part while it holds less.
func (en *Entry) unitsHere(team string) int {
	if team == "" {
		return unlimited
	}
	equal := teamLimit(en.Bundle(), team) / max(en.countEntries(), 1)
	return max(int(en.limits.hd.Holding(team)), equal, 1)
}

func (lm *limitsPart) want(team string, longestMS int64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.wanted[team] = max(lm.wanted[team], longestMS)
}

func (lm *limitsPart) takeWanted() map[string]int64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	wanted := lm.wanted
	lm.wanted = map[string]int64{}
	return wanted
}

// seekUnits takes or borrows units for the teams whose requests wait for one, and wakes their queues.
func (en *Entry) seekUnits(ctx context.Context) {
	wanted := en.limits.takeWanted()
	if len(wanted) == 0 {
		return
	}
	var wg sync.WaitGroup
	for team, longestMS := range wanted {
		wg.Go(func() {
			un, err := en.limits.hd.Acquire(ctx, team, longestMS)
			if err != nil {
				en.mt.Count(1, "limit", team, "not-found")
				return
			}
			un.Release()
		})
	}
	wg.Wait()
	en.path.blocked.Store(false)
	en.wakeAll()
}

func (en *Entry) limitPeers() []string {
	var list []string
	for _, mb := range en.limitMembers() {
		list = append(list, mb.GetIncarnation())
	}
	return list
}

func (en *Entry) peerClient(incarnation string) (limitpb.DRPCLimitClient, error) {
	for _, mb := range en.limitMembers() {
		if mb.GetIncarnation() == incarnation {
			return limitpb.NewDRPCLimitClient(en.peerConn(mb.GetPeerAddress())), nil
		}
	}
	return nil, code.PeerUnreachable.New("entry %s isn't known", incarnation)
}

func (en *Entry) lendFrom(ctx context.Context, lender string, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	cl, err := en.peerClient(lender)
	if err != nil {
		return nil, err
	}
	en.mt.Count(1, "limit", "lend-calls")
	return cl.Lend(ctx, req)
}

func (en *Entry) returnTo(ctx context.Context, lender string, req *limitpb.ReturnRequest) error {
	cl, err := en.peerClient(lender)
	if err != nil {
		return err
	}
	en.mt.Count(1, "limit", "return-calls")
	_, err = cl.Return(ctx, req)
	return err
}

// limitGone also knows the former processes of this VM: this one could not listen on their address while they ran.
func (en *Entry) limitGone(incarnation string) bool {
	if en.gone(incarnation) {
		return true
	}
	vm, _, found := strings.Cut(incarnation, processMark)
	own, _, _ := strings.Cut(en.incarnation, processMark)
	at, err := netip.ParseAddrPort(en.st.Peer())
	return found && vm == own && incarnation != en.incarnation && err == nil && at.Port() != 0
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

// drainLimits gives the units back for a while; what is left then returns once the platform lists this VM as gone.
func (en *Entry) drainLimits(ctx context.Context) {
	ctx, cancel := en.ck.WithTimeout(ctx, limitsDrainMostMS)
	defer cancel()
	en.limits.hd.Drain()
	en.limits.hd.Tick(ctx)
	for !en.limits.hd.Empty() && en.ck.Sleep(ctx, limitsDrainMS) == nil {
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

func refusal(req *callpb.Request, cd code.Code, retryMS int64) *callpb.Answer {
	return &callpb.Answer{
		Id: req.GetId(), Outcome: "not-run", Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: retryMS,
	}
}

// tableUsers counts the processes that share the table's budget; before the first list of VMs it assumes a large fleet.
func (en *Entry) tableUsers() int {
	if cnt := en.countEntries(); cnt > 0 {
		return cnt
	}
	return assumedEntries
}

// countEntries returns how many entry VMs the platform lists.
func (en *Entry) countEntries() int {
	return len(en.vms.Kind(kindEntry))
}
