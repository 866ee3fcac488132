package cluster

import (
	"context"
	"maps"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/membership/roster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// Beat handles a heartbeat of another entry.
func (ag *Agent) Beat(_ context.Context, req *configpb.BeatRequest) (*configpb.BeatReply, error) {
	inc := req.GetAck().GetIncarnation()
	ag.recordAck(req.GetAck())
	ag.vw.RecordHeartbeat(inc, req.GetMember())
	ag.receiveGossip(req.GetLeaving(), req.GetGone())
	ag.receiveParts(inc, req.GetParts())
	rep := &configpb.BeatReply{Ack: ag.ack(), Parts: ag.encodeParts()}
	rep.Leaving, rep.Gone, rep.Position = ag.gossipSince(req.GetSeen())
	return rep, nil
}

// Vouch handles the request of a lease holder to confirm that its version is the newest.
func (ag *Agent) Vouch(_ context.Context, req *configpb.VouchRequest) (*configpb.VouchReply, error) {
	vouched := ag.vt.Vouch(req)
	return &configpb.VouchReply{Vouched: vouched, Ack: ag.ack()}, nil
}

// Adopt adopts a pushed version, relays it within the zone if asked to, and acknowledges it.
func (ag *Agent) Adopt(ctx context.Context, req *configpb.AdoptRequest) (*configpb.AdoptReply, error) {
	head := req.GetHead()
	if raw, err := ag.cf.Content(req.GetDelta(), req.GetWhole()); err == nil {
		_ = ag.adopt(head, raw)
	}
	ag.observeCommitted(head.GetVersion(), head.GetHash())
	rep := &configpb.AdoptReply{}
	if req.GetRelay() {
		sameZone := ag.inZone(ag.vt.Roster().Members())
		rep.Relayed = ag.pushTo(ctx, sameZone, req, false)
	}
	rep.Ack = ag.ack()
	return rep, nil
}

// Fetch returns the roster, and the held version if it is newer than the caller's.
func (ag *Agent) Fetch(_ context.Context, req *configpb.FetchRequest) (*configpb.FetchReply, error) {
	rep := &configpb.FetchReply{Roster: ag.vt.Roster().Message()}
	head := ag.cf.Head()
	if head.GetVersion() <= req.GetVersion() {
		return rep, nil
	}
	rep.Head = head
	rep.Delta, rep.Whole = ag.content(req.GetVersion())
	return rep, nil
}

// content returns the held version as a delta from the receiver's version, or complete if that version isn't available as a base.
func (ag *Agent) content(base uint64) (*configpb.Delta, []byte) {
	if dl := ag.cf.DeltaSince(base); dl != nil {
		return dl, nil
	}
	return nil, ag.cf.Raw()
}

func (ag *Agent) gossipSince(position uint64) (leaving, gone []string, last uint64) {
	names, last := ag.gs.Since(position)
	for _, name := range names {
		if inc, ok := strings.CutPrefix(name, leavingPrefix); ok {
			leaving = append(leaving, inc)
		}
		if inc, ok := strings.CutPrefix(name, gonePrefix); ok {
			gone = append(gone, inc)
		}
	}
	return leaving, gone, last
}

// forgetPositions drops the gossip positions of entries that have ended or aren't known any more.
func (ag *Agent) forgetPositions() {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	maps.DeleteFunc(ag.positions, func(inc string, _ gossipPositions) bool { return !ag.exchangesGossip(inc) })
}

// exchangesGossip reports whether an incarnation is known and hasn't ended.
func (ag *Agent) exchangesGossip(inc string) bool {
	return ag.vw.Find(inc) != nil && ag.vw.State(inc) != liveness.Gone
}

func (ag *Agent) receiveGossip(leaving, gone []string) {
	for _, inc := range leaving {
		if len(ag.gs.Add(leavingPrefix+inc)) > 0 {
			ag.onLeaving(inc)
		}
	}
	for _, inc := range gone {
		ag.AnnounceGone(inc)
	}
}

func (ag *Agent) encodeParts() []*configpb.Part {
	var list []*configpb.Part
	for _, pt := range ag.parts {
		if value := pt.encode(); len(value) > 0 {
			list = append(list, &configpb.Part{Name: pt.name, Value: value})
		}
	}
	return list
}

func (ag *Agent) receiveParts(incarnation string, list []*configpb.Part) {
	for _, received := range list {
		for _, pt := range ag.parts {
			if pt.name == received.GetName() {
				pt.receive(incarnation, received.GetValue())
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

// adoptRoster puts a committed roster in use if it has a newer epoch, or the same epoch with fewer unsettled rosters.
func (ag *Agent) adoptRoster(rs *roster.Roster) {
	known := ag.vt.Roster()
	if rs.Epoch() < known.Epoch() {
		return
	}
	if rs.Epoch() == known.Epoch() && len(rs.Message().GetUnsettled()) >= len(known.Message().GetUnsettled()) {
		return
	}
	ag.vt.SetRoster(rs, max(ag.leaseMS(), ag.cf.Head().GetLeaseCeilingMs()))
	ag.vw.SetRoster(rs.Members())
	ag.forgetPositions()
	for _, inc := range rs.Superseded() {
		ag.tr.MarkGone(inc)
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.wasRegistered = ag.wasRegistered || rs.Has(ag.self.GetIncarnation())
}
