package cluster

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/membership/leasevote"
	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/membership/roster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
)

// SendHeartbeats sends one heartbeat to each heartbeat target of this entry.
func (ag *Agent) SendHeartbeats(ctx context.Context) {
	targets := ag.vw.HeartbeatTargets()
	ag.forEach(len(targets), func(i int) { ag.sendHeartbeat(ctx, targets[i]) })
}

func (ag *Agent) sendHeartbeat(ctx context.Context, mb *configpb.Member) {
	inc := mb.GetIncarnation()
	ag.mu.Lock()
	last := ag.positions[inc]
	ag.mu.Unlock()
	req := &configpb.BeatRequest{Ack: ag.ack(), Parts: ag.encodeParts(), Seen: last.received}
	if ag.mayBeUnknownTo(inc) {
		req.Member = ag.self
	}
	var lastSent uint64
	req.Leaving, req.Gone, lastSent = ag.gossipSince(last.sent)
	ctx, cancel := ag.ck.WithTimeout(ctx, callTimeoutMS)
	defer cancel()
	rep, err := ag.dial(mb).Beat(ctx, req)
	if err != nil || rep.GetAck().GetIncarnation() != inc {
		ag.vw.RecordMiss(inc)
		ag.rg.Count(1, "peer", "beats-missed")
		return
	}
	ag.vw.RecordHeartbeat(inc, nil)
	ag.recordAck(rep.GetAck())
	ag.receiveGossip(rep.GetLeaving(), rep.GetGone())
	ag.receiveParts(inc, rep.GetParts())
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if !ag.exchangesGossip(inc) {
		return
	}
	ag.positions[inc] = gossipPositions{received: rep.GetPosition(), sent: lastSent}
}

// mayBeUnknownTo reports whether the roster that another entry last acknowledged may lack this one.
func (ag *Agent) mayBeUnknownTo(inc string) bool {
	rs := ag.vt.Roster()
	_, known := ag.tr.EpochHeardSince(inc, rs.Epoch())
	return !known || !rs.Has(ag.self.GetIncarnation())
}

// RenewByVotes asks the registered entries to vouch that the held version is the newest and extends the lease if a majority does.
func (ag *Agent) RenewByVotes(ctx context.Context) {
	head := ag.cf.Head()
	rs := ag.vt.Roster()
	if head.GetVersion() == 0 || len(rs.Members()) == 0 {
		return
	}
	leaseMS := ag.leaseMS()
	req := &configpb.VouchRequest{
		Holder: ag.self.GetIncarnation(), Version: head.GetVersion(), Hash: leasevote.ShortHash(head.GetHash()), Epoch: rs.Epoch(), LeaseMs: leaseMS,
	}
	startMS := ag.ck.Now()
	if ag.collectVotes(ctx, rs, req) >= roster.Majority(len(rs.Members())) {
		ag.ls.Grant(head.GetVersion(), startMS, leaseMS)
		ag.rg.Count(1, "config", "leases-vouched")
	}
}

// collectVotes first asks only as many entries as make a majority, live ones first, and the others only if some of those don't vouch.
func (ag *Agent) collectVotes(ctx context.Context, rs *roster.Roster, req *configpb.VouchRequest) int {
	voters := ag.voterOrder(rs.Members())
	quorum := roster.Majority(len(voters))
	votes := ag.countVotes(ctx, voters[:quorum], req)
	if votes < quorum {
		votes += ag.countVotes(ctx, voters[quorum:], req)
	}
	return votes
}

func (ag *Agent) countVotes(ctx context.Context, members []*configpb.Member, req *configpb.VouchRequest) int {
	var votes atomic.Int64
	ag.forEach(len(members), func(i int) {
		if ag.requestVote(ctx, members[i], req) {
			votes.Add(1)
		}
	})
	return int(votes.Load())
}

// voterOrder returns the members with live ones first, each of the two groups rotated to begin with this entry, so that lease holders don't all ask the same voters.
func (ag *Agent) voterOrder(members []*configpb.Member) []*configpb.Member {
	self := max(0, slices.IndexFunc(members, func(mb *configpb.Member) bool { return mb.GetIncarnation() == ag.self.GetIncarnation() }))
	voters := slices.Concat(members[self:], members[:self])
	slices.SortStableFunc(voters, func(a, b *configpb.Member) int {
		return cmp.Compare(ag.livenessRank(a), ag.livenessRank(b))
	})
	return voters
}

func (ag *Agent) livenessRank(mb *configpb.Member) int {
	if ag.vw.State(mb.GetIncarnation()) == liveness.Alive {
		return 0
	}
	return 1
}

func (ag *Agent) requestVote(ctx context.Context, mb *configpb.Member, req *configpb.VouchRequest) bool {
	if mb.GetIncarnation() == ag.self.GetIncarnation() {
		return ag.vt.Vouch(req)
	}
	ctx, cancel := ag.ck.WithTimeout(ctx, callTimeoutMS)
	defer cancel()
	rep, err := ag.dial(mb).Vouch(ctx, req)
	if err != nil {
		return false
	}
	ag.recordAck(rep.GetAck())
	return rep.GetVouched() && rep.GetAck().GetIncarnation() == mb.GetIncarnation()
}

// PushHeld pushes the held version to the members that haven't acknowledged it, while it isn't accepted and this entry drives its acceptance: first to this zone and to one relay in each other zone, then to all that still lack it.
func (ag *Agent) PushHeld(ctx context.Context) {
	head := ag.cf.Head()
	version := head.GetVersion()
	if version == 0 || ag.tr.Accepted() >= version || !ag.drivesAcceptance(version) {
		return
	}
	ag.tr.RecordAck(ag.ack())
	unacked := ag.unacknowledged(version)
	req := &configpb.AdoptRequest{Head: head}
	relays := ag.vw.Relays(unacked)
	nearAndRelays := append(ag.inZone(unacked), relays...)
	ag.pushTo(ctx, nearAndRelays, req, true)
	ag.pushTo(ctx, ag.unacknowledged(version), req, false)
}

// drivesAcceptance reports whether this entry pushes the version: DriveAcceptance was called for it, or this entry is the coordinator and the version has been the head for coordinatorDelayMS.
func (ag *Agent) drivesAcceptance(version uint64) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.drivenVersion >= version {
		return true
	}
	return ag.ck.Now()-ag.headSinceMS > coordinatorDelayMS && ag.vw.IsCoordinator(ag.vt.Roster().Members())
}

func (ag *Agent) setDriven(version uint64) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.drivenVersion = max(ag.drivenVersion, version)
}

func (ag *Agent) unacknowledged(version uint64) []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range ag.vt.Roster().Members() {
		inc := mb.GetIncarnation()
		if held, _ := ag.tr.HeldVersion(inc); held >= version || inc == ag.self.GetIncarnation() || ag.gs.Has(gonePrefix+inc) {
			continue
		}
		list = append(list, mb)
	}
	return list
}

// pushTo pushes the version to each member and returns the acknowledgements, including those collected by relays.
func (ag *Agent) pushTo(ctx context.Context, members []*configpb.Member, req *configpb.AdoptRequest, relay bool) []*configpb.Ack {
	var mu sync.Mutex
	var acks []*configpb.Ack
	ag.forEach(len(members), func(i int) {
		received := ag.push(ctx, members[i], req.GetHead(), relay && members[i].GetZone() != ag.self.GetZone())
		mu.Lock()
		defer mu.Unlock()
		acks = append(acks, received...)
	})
	return acks
}

// push sends the version as a delta from its predecessor; if the receiver doesn't hold that, it is sent once more as a delta from the version that the receiver reports.
func (ag *Agent) push(ctx context.Context, mb *configpb.Member, head *configpb.Head, relay bool) []*configpb.Ack {
	if ag.cf.Version() != head.GetVersion() {
		return nil
	}
	ctx, cancel := progress.WithSilenceTimeout(ctx, ag.ck, callTimeoutMS, callTimeoutMS)
	defer cancel()
	cl := ag.dial(mb)
	req := &configpb.AdoptRequest{Head: head, Relay: relay}
	req.Delta, req.Whole = ag.content(head.GetVersion() - 1)
	rep, err := cl.Adopt(ctx, req)
	if err == nil && rep.GetAck().GetHeld() < head.GetVersion() {
		req.Delta, req.Whole = ag.content(rep.GetAck().GetHeld())
		ag.rg.Count(1, "config", "pushed-again")
		rep, err = cl.Adopt(ctx, req)
	}
	if err != nil {
		return nil
	}
	acks := append(rep.GetRelayed(), rep.GetAck())
	for _, ack := range acks {
		ag.recordAck(ack)
	}
	return acks
}

// CatchUp fetches a newer version or roster that this entry has heard of, from other entries first and then from the platform.
func (ag *Agent) CatchUp(ctx context.Context) {
	if !ag.isBehind() {
		return
	}
	for _, mb := range ag.fetchSources() {
		ag.FetchFrom(ctx, mb)
		if !ag.isBehind() {
			return
		}
	}
	if err := ag.Refresh(ctx); err != nil {
		ag.lg.Fail("catch-up-failed", err, "heard", ag.vt.Version(), "held", ag.cf.Version())
	}
}

// fetchSources returns the nearest live entries and, in rotation, one of the others, so that a version held only by distant entries is found eventually.
func (ag *Agent) fetchSources() []*configpb.Member {
	live := ag.vw.Nearest(math.MaxInt)
	near := min(nearSources, len(live))
	if near == len(live) {
		return live
	}
	ag.mu.Lock()
	ag.farRotation++
	far := ag.farRotation % (len(live) - near)
	ag.mu.Unlock()
	return append(slices.Clone(live[:near]), live[near+far])
}

// FetchFrom fetches the newest version and roster of one entry, of which only the address need be known.
func (ag *Agent) FetchFrom(ctx context.Context, mb *configpb.Member) {
	ctx, cancel := progress.WithSilenceTimeout(ctx, ag.ck, callTimeoutMS, callTimeoutMS)
	defer cancel()
	rep, err := ag.dial(mb).Fetch(ctx, &configpb.FetchRequest{Version: ag.cf.Version()})
	if err != nil {
		return
	}
	if head := rep.GetHead(); head.GetVersion() > ag.cf.Version() {
		if raw, err := ag.cf.Content(rep.GetDelta(), rep.GetWhole()); err == nil {
			_ = ag.adopt(head, raw)
		}
		ag.observeCommitted(head.GetVersion(), head.GetHash())
	}
	ag.adoptRoster(roster.New(rep.GetRoster()))
}

func (ag *Agent) isBehind() bool {
	return ag.vt.Version() > ag.cf.Version() || ag.vt.Epoch() > ag.vt.Roster().Epoch() || ag.cf.Version() == 0
}
