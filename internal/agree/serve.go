package agree

import (
	"context"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/roster"
)

// Beat answers a heartbeat.
func (ag *Agent) Beat(_ context.Context, req *configpb.BeatRequest) (*configpb.BeatReply, error) {
	inc := req.GetAck().GetIncarnation()
	ag.hearAck(req.GetAck())
	ag.mv.Hear(inc, req.GetMember())
	ag.hearNews(req.GetLeaving(), req.GetGone())
	ag.hearParts(inc, req.GetParts())
	rep := &configpb.BeatReply{Ack: ag.ack(), Parts: ag.fillParts()}
	rep.Leaving, rep.Gone, rep.Position = ag.news(req.GetSeen())
	return rep, nil
}

// Vouch answers a holder of a configuration lease.
func (ag *Agent) Vouch(_ context.Context, req *configpb.VouchRequest) (*configpb.VouchReply, error) {
	vouched := ag.vc.Vouch(req)
	return &configpb.VouchReply{Vouched: vouched, Ack: ag.ack()}, nil
}

// Adopt takes over a committed version, passes it on within the zone when asked to, and acknowledges.
func (ag *Agent) Adopt(ctx context.Context, req *configpb.AdoptRequest) (*configpb.AdoptReply, error) {
	head := req.GetHead()
	if raw, err := ag.cf.Content(req.GetDelta(), req.GetWhole()); err == nil {
		_ = ag.adopt(head, raw)
	}
	ag.hear(head.GetVersion(), head.GetHash())
	rep := &configpb.AdoptReply{}
	if req.GetRelay() {
		near := ag.inZone(ag.vc.Roster().Members())
		rep.Relayed = ag.pushTo(ctx, near, req, false)
	}
	rep.Ack = ag.ack()
	return rep, nil
}

// Fetch answers with the version held and the roster.
func (ag *Agent) Fetch(_ context.Context, req *configpb.FetchRequest) (*configpb.FetchReply, error) {
	rep := &configpb.FetchReply{Roster: ag.vc.Roster().Message()}
	head := ag.cf.Head()
	if head.GetVersion() <= req.GetVersion() {
		return rep, nil
	}
	rep.Head = head
	rep.Delta, rep.Whole = ag.content(req.GetVersion())
	return rep, nil
}

// content returns the delta from the base of the receiver, or the whole.
func (ag *Agent) content(base uint64) (*configpb.Delta, []byte) {
	if dl := ag.cf.DeltaSince(base); dl != nil {
		return dl, nil
	}
	return nil, ag.cf.Raw()
}

func (ag *Agent) news(position uint64) (leaving, gone []string, last uint64) {
	names, last := ag.gs.Since(position)
	for _, name := range names {
		if inc, ok := strings.CutPrefix(name, kindLeaving); ok {
			leaving = append(leaving, inc)
		}
		if inc, ok := strings.CutPrefix(name, kindGone); ok {
			gone = append(gone, inc)
		}
	}
	return leaving, gone, last
}

func (ag *Agent) hearNews(leaving, gone []string) {
	for _, inc := range leaving {
		if len(ag.gs.Add(kindLeaving+inc)) > 0 {
			ag.leaving(inc)
		}
	}
	for _, inc := range gone {
		ag.AnnounceGone(inc)
	}
}

func (ag *Agent) fillParts() []*configpb.Part {
	var list []*configpb.Part
	for _, pt := range ag.parts {
		if value := pt.fill(); len(value) > 0 {
			list = append(list, &configpb.Part{Name: pt.name, Value: value})
		}
	}
	return list
}

func (ag *Agent) hearParts(incarnation string, list []*configpb.Part) {
	for _, got := range list {
		for _, pt := range ag.parts {
			if pt.name == got.GetName() {
				pt.hear(incarnation, got.GetValue())
			}
		}
	}
}

func (ag *Agent) inZone(members []*configpb.Member) []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range members {
		if mb.GetZone() == ag.self.GetZone() && mb.GetIncarnation() != ag.self.GetIncarnation() {
			list = append(list, mb)
		}
	}
	return list
}

// register takes over a roster that is known committed.
func (ag *Agent) register(rs *roster.Roster) {
	known := ag.vc.Roster()
	if rs.Epoch() < known.Epoch() {
		return
	}
	if rs.Epoch() == known.Epoch() && len(rs.Message().GetUnsettled()) >= len(known.Message().GetUnsettled()) {
		return
	}
	ag.vc.Register(rs, max(ag.leaseMS(), ag.cf.Head().GetLeaseCeilingMs()))
	ag.mv.Register(rs.Members())
	for _, inc := range rs.Superseded() {
		ag.ac.MarkGone(inc)
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.registered = ag.registered || rs.Has(ag.self.GetIncarnation())
}
