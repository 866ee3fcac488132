package agree

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/member"
	"github.com/fulmarloft/fulmarloft/internal/roster"
	"github.com/fulmarloft/fulmarloft/internal/voucher"
)

// BeatOnce sends one heartbeat to each entry that this one speaks to.
func (ag *Agent) BeatOnce(ctx context.Context) {
	targets := ag.mv.Targets()
	ag.each(len(targets), func(i int) { ag.beat(ctx, targets[i]) })
}

func (ag *Agent) beat(ctx context.Context, mb *configpb.Member) {
	inc := mb.GetIncarnation()
	ag.mu.Lock()
	seen, sent := ag.seen[inc], ag.seen["to/"+inc]
	ag.mu.Unlock()
	req := &configpb.BeatRequest{Ack: ag.ack(), Parts: ag.fillParts(), Seen: seen}
	if ag.strangerTo(inc) {
		req.Member = ag.self
	}
	var last uint64
	req.Leaving, req.Gone, last = ag.news(sent)
	ctx, cancel := ag.ck.WithTimeout(ctx, callMS)
	defer cancel()
	rep, err := ag.dial(mb).Beat(ctx, req)
	if err != nil || rep.GetAck().GetIncarnation() != inc {
		ag.mv.Miss(inc)
		ag.rg.Count(1, "peer", "beats-missed")
		return
	}
	ag.mv.Hear(inc, nil)
	ag.hearAck(rep.GetAck())
	ag.hearNews(rep.GetLeaving(), rep.GetGone())
	ag.hearParts(inc, rep.GetParts())
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.seen[inc] = rep.GetPosition()
	ag.seen["to/"+inc] = last
}

// strangerTo reports whether another entry may not know this one from the roster that it last said it has.
func (ag *Agent) strangerTo(inc string) bool {
	rs := ag.vc.Roster()
	_, knows := ag.ac.EpochHeardSince(inc, rs.Epoch())
	return !knows || !rs.Has(ag.self.GetIncarnation())
}

// VouchOnce asks the registered entries to vouch for the version held and extends the lease when a majority does.
func (ag *Agent) VouchOnce(ctx context.Context) {
	head := ag.cf.Head()
	rs := ag.vc.Roster()
	if head.GetVersion() == 0 || len(rs.Members()) == 0 {
		return
	}
	lease := ag.leaseMS()
	req := &configpb.VouchRequest{
		Holder: ag.self.GetIncarnation(), Version: head.GetVersion(), Hash: voucher.Short(head.GetHash()), Epoch: rs.Epoch(), LeaseMs: lease,
	}
	start := ag.ck.Now()
	if ag.askAll(ctx, rs, req) >= roster.Majority(len(rs.Members())) {
		ag.ls.Grant(head.GetVersion(), start, lease)
		ag.rg.Count(1, "config", "leases-vouched")
	}
}

// askAll asks just as many live entries as make a majority, and the others only when some of those don't vouch.
func (ag *Agent) askAll(ctx context.Context, rs *roster.Roster, req *configpb.VouchRequest) int {
	order := ag.askOrder(rs.Members())
	need := roster.Majority(len(order))
	votes := ag.askSome(ctx, order[:need], req)
	if votes < need {
		votes += ag.askSome(ctx, order[need:], req)
	}
	return votes
}

func (ag *Agent) askSome(ctx context.Context, members []*configpb.Member, req *configpb.VouchRequest) int {
	var votes atomic.Int64
	ag.each(len(members), func(i int) {
		if ag.ask(ctx, members[i], req) {
			votes.Add(1)
		}
	})
	return int(votes.Load())
}

// askOrder puts live entries first, beginning with this one, so that holders don't all ask the same.
func (ag *Agent) askOrder(members []*configpb.Member) []*configpb.Member {
	at := max(0, slices.IndexFunc(members, func(mb *configpb.Member) bool { return mb.GetIncarnation() == ag.self.GetIncarnation() }))
	order := slices.Concat(members[at:], members[:at])
	slices.SortStableFunc(order, func(a, b *configpb.Member) int {
		return cmp.Compare(ag.rank(a), ag.rank(b))
	})
	return order
}

func (ag *Agent) rank(mb *configpb.Member) int {
	if ag.mv.State(mb.GetIncarnation()) == member.Alive {
		return 0
	}
	return 1
}

func (ag *Agent) ask(ctx context.Context, mb *configpb.Member, req *configpb.VouchRequest) bool {
	if mb.GetIncarnation() == ag.self.GetIncarnation() {
		return ag.vc.Vouch(req)
	}
	ctx, cancel := ag.ck.WithTimeout(ctx, callMS)
	defer cancel()
	rep, err := ag.dial(mb).Vouch(ctx, req)
	if err != nil {
		return false
	}
	ag.hearAck(rep.GetAck())
	return rep.GetVouched() && rep.GetAck().GetIncarnation() == mb.GetIncarnation()
}

// PushOnce tells the version held to those who haven't acknowledged it, while this entry drives its acceptance.
func (ag *Agent) PushOnce(ctx context.Context) {
	head := ag.cf.Head()
	version := head.GetVersion()
	if version == 0 || ag.ac.Accepted() >= version || !ag.drives(version) {
		return
	}
	ag.ac.RecordAck(ag.ack())
	todo := ag.unacknowledged(version)
	req := &configpb.AdoptRequest{Head: head}
	relays := ag.mv.Relays(todo)
	first := append(ag.inZone(todo), relays...)
	ag.pushTo(ctx, first, req, true)
	ag.pushTo(ctx, ag.unacknowledged(version), req, false)
}

func (ag *Agent) drives(version uint64) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.driving >= version {
		return true
	}
	return ag.ck.Now()-ag.headSince > driveAfterMS && ag.mv.Leads(ag.vc.Roster().Members())
}

func (ag *Agent) drive(version uint64) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.driving = max(ag.driving, version)
}

func (ag *Agent) unacknowledged(version uint64) []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range ag.vc.Roster().Members() {
		inc := mb.GetIncarnation()
		if held, _ := ag.ac.HeldVersion(inc); held >= version || inc == ag.self.GetIncarnation() || ag.gs.Has(kindGone+inc) {
			continue
		}
		list = append(list, mb)
	}
	return list
}

// pushTo sends the version named to each member, as a delta from the version before where the member holds it, and returns the acknowledgements.
func (ag *Agent) pushTo(ctx context.Context, members []*configpb.Member, req *configpb.AdoptRequest, relay bool) []*configpb.Ack {
	var mu sync.Mutex
	var acks []*configpb.Ack
	ag.each(len(members), func(i int) {
		got := ag.push(ctx, members[i], req.GetHead(), relay && members[i].GetZone() != ag.self.GetZone())
		mu.Lock()
		defer mu.Unlock()
		acks = append(acks, got...)
	})
	return acks
}

// push sends a delta from the version before, and once more from the version that the receiver then says it holds.
func (ag *Agent) push(ctx context.Context, mb *configpb.Member, head *configpb.Head, relay bool) []*configpb.Ack {
	if ag.cf.Version() != head.GetVersion() {
		return nil
	}
	ctx, cancel := ag.ck.WithTimeout(ctx, callMS)
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
		ag.hearAck(ack)
	}
	return acks
}

// CatchUp fetches a newer version or roster that was heard of, from other entries first and then from the platform.
func (ag *Agent) CatchUp(ctx context.Context) {
	if !ag.behind() {
		return
	}
	for _, mb := range ag.sources() {
		ag.FetchFrom(ctx, mb)
		if !ag.behind() {
			return
		}
	}
	if err := ag.Refresh(ctx); err != nil {
		ag.lg.Fail("catch-up-failed", err, "heard", ag.vc.Version(), "held", ag.cf.Version())
	}
}

// sources returns the nearest entries and one of the others in turn, so that news held far away is found in the end.
func (ag *Agent) sources() []*configpb.Member {
	live := ag.mv.Nearest(math.MaxInt)
	near := min(fetchSources, len(live))
	if near == len(live) {
		return live
	}
	ag.mu.Lock()
	ag.turn++
	far := ag.turn % (len(live) - near)
	ag.mu.Unlock()
	return append(slices.Clone(live[:near]), live[near+far])
}

// FetchFrom asks one entry, which may be known by its address only, for the newest version and roster that it has.
func (ag *Agent) FetchFrom(ctx context.Context, mb *configpb.Member) {
	ctx, cancel := ag.ck.WithTimeout(ctx, callMS)
	defer cancel()
	rep, err := ag.dial(mb).Fetch(ctx, &configpb.FetchRequest{Version: ag.cf.Version()})
	if err != nil {
		return
	}
	if head := rep.GetHead(); head.GetVersion() > ag.cf.Version() {
		if raw, err := ag.cf.Content(rep.GetDelta(), rep.GetWhole()); err == nil {
			_ = ag.adopt(head, raw)
		}
		ag.hear(head.GetVersion(), head.GetHash())
	}
	ag.register(roster.New(rep.GetRoster()))
}

func (ag *Agent) behind() bool {
	return ag.vc.Version() > ag.cf.Version() || ag.vc.Epoch() > ag.vc.Roster().Epoch() || ag.cf.Version() == 0
}
