package agree

import (
	"context"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/member"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/publish"
	"github.com/fulmarloft/fulmarloft/internal/roster"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

type snapshot struct {
	head     *configpb.Head
	epoch    *configpb.RosterEpoch
	rs       *roster.Roster
	versions map[string]uint64
	start    int64
}

func (ag *Agent) read(ctx context.Context, keys ...string) (*snapshot, error) {
	sn := &snapshot{head: &configpb.Head{}, epoch: &configpb.RosterEpoch{}, versions: map[string]uint64{}, start: ag.ck.Now()}
	whole := &configpb.Roster{}
	ctx, cancel := ag.ck.WithTimeout(ctx, tableMS)
	defer cancel()
	rep, err := ag.tbl.Read(ctx, &platformpb.ReadRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	into := map[string]proto.Message{publish.HeadKey: sn.head, roster.EpochKey: sn.epoch, roster.Key: whole}
	for _, row := range rep.GetRows() {
		sn.versions[row.GetKey()] = row.GetVersion()
		if err := proto.Unmarshal(row.GetValue(), into[row.GetKey()]); err != nil {
			return nil, code.Internal.Wrap(err)
		}
	}
	sn.rs = roster.New(whole)
	return sn, nil
}

// Renew extends the lease by one small read of the table, and by the other entries' word when the table doesn't answer.
func (ag *Agent) Renew(ctx context.Context) {
	sn, err := ag.read(ctx, publish.HeadKey, roster.EpochKey)
	if err != nil {
		ag.rg.Count(1, "config", "table-reads-failed")
		ag.VouchOnce(ctx)
		return
	}
	ag.vc.Hear(sn.head.GetVersion(), sn.head.GetHash())
	ag.vc.HearEpoch(sn.epoch.GetEpoch())
	if ag.behind() || ag.rosterRow() != sn.versions[roster.EpochKey] {
		if err := ag.Refresh(ctx); err != nil {
			ag.lg.Fail("refresh-failed", err)
		}
		return
	}
	ag.grant(sn, ag.vc.Roster())
}

// RenewDue reports whether a third of the lease has gone by.
func (ag *Agent) RenewDue() bool {
	return ag.ls.RemainingMS() <= ag.leaseMS()*(renewFraction-1)/renewFraction
}

// Refresh reads head and roster whole, fetches the head's content and extends the lease.
func (ag *Agent) Refresh(ctx context.Context) error {
	sn, err := ag.read(ctx, publish.HeadKey, roster.EpochKey, roster.Key)
	if err != nil {
		return err
	}
	ag.vc.Hear(sn.head.GetVersion(), sn.head.GetHash())
	ag.vc.HearEpoch(sn.rs.Epoch())
	ag.register(sn.rs)
	ag.setRosterRow(sn.versions[roster.EpochKey])
	if sn.head.GetVersion() > ag.cf.Version() {
		if err := ag.load(ctx, sn.head); err != nil {
			return err
		}
	}
	ag.grant(sn, sn.rs)
	return nil
}

// rosterRow returns the version of the roster's small row that the roster in use was read with, which a settled roster changes too.
func (ag *Agent) rosterRow() uint64 {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.epochRow
}

func (ag *Agent) setRosterRow(version uint64) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.epochRow = max(ag.epochRow, version)
}

func (ag *Agent) load(ctx context.Context, head *configpb.Head) error {
	raw, err := ag.get(ctx, publish.ObjectName(head.GetHash()))
	if err != nil {
		return err
	}
	return ag.adopt(head, raw)
}

// grant counts the lease from before the read, which showed that the version held is the head and this incarnation is registered.
func (ag *Agent) grant(sn *snapshot, rs *roster.Roster) {
	if sn.head.GetVersion() == 0 || sn.epoch.GetEpoch() != rs.Epoch() {
		return
	}
	ag.watch(sn.head, rs)
	ag.mu.Lock()
	leaving := ag.leavingNow
	ag.mu.Unlock()
	if sn.head.GetVersion() == ag.cf.Version() && rs.Has(ag.self.GetIncarnation()) && !leaving {
		ag.ls.Grant(sn.head.GetVersion(), sn.start, ag.leaseMS())
	}
}

func (ag *Agent) watch(head *configpb.Head, rs *roster.Roster) {
	ag.mu.Lock()
	if ag.watched < head.GetVersion() {
		ag.watched = head.GetVersion()
		ag.headSince = ag.ck.Now()
	}
	ag.mu.Unlock()
	ag.ac.Watch(head.GetVersion(), head.GetLeaseCeilingMs(), rs.Groups())
	ag.ac.RecordAck(ag.ack())
}

// Maintain registers this entry, and lets the first live entry remove those gone and settle older rosters.
func (ag *Agent) Maintain(ctx context.Context) error {
	ag.ac.RecordAck(ag.ack())
	rs := ag.vc.Roster()
	self := ag.self.GetIncarnation()
	if !rs.Has(self) {
		return ag.Join(ctx)
	}
	if !ag.mv.Leads(rs.Members()) {
		return nil
	}
	ag.askUnsettled(ctx, rs)
	if ag.tidy(rs, ag.cf.Head()) == rs {
		return nil
	}
	return ag.change(ctx, func(rs *roster.Roster, head *configpb.Head) (*roster.Roster, error) { return ag.tidy(rs, head), nil })
}

// askUnsettled sends a heartbeat to each entry that isn't known to have heard of the roster while older ones wait for such word; an entry without a link to this one would never tell.
func (ag *Agent) askUnsettled(ctx context.Context, rs *roster.Roster) {
	if len(rs.Message().GetUnsettled()) == 0 {
		return
	}
	var ask []*configpb.Member
	for _, mb := range rs.Members() {
		_, told := ag.ac.EpochHeardSince(mb.GetIncarnation(), rs.Epoch())
		if !told && mb.GetIncarnation() != ag.self.GetIncarnation() && ag.mv.State(mb.GetIncarnation()) != member.Dead {
			ask = append(ask, mb)
		}
	}
	ag.each(len(ask), func(i int) { ag.beat(ctx, ask[i]) })
}

// Join registers this entry; an incarnation that was registered before and is no more doesn't come back.
func (ag *Agent) Join(ctx context.Context) error {
	ag.mu.Lock()
	barred := ag.registered || ag.leavingNow
	ag.mu.Unlock()
	if barred {
		return nil
	}
	return ag.change(ctx, func(rs *roster.Roster, _ *configpb.Head) (*roster.Roster, error) { return rs.Join(ag.self) })
}

// Leave takes this entry out of the roster; it takes no lease from the table any more.
func (ag *Agent) Leave(ctx context.Context) error {
	ag.mu.Lock()
	ag.leavingNow = true
	ag.mu.Unlock()
	self := ag.self.GetIncarnation()
	return ag.change(ctx, func(rs *roster.Roster, _ *configpb.Head) (*roster.Roster, error) {
		return rs.Leave(func(inc string) bool { return inc == self })
	})
}

func (ag *Agent) tidy(rs *roster.Roster, head *configpb.Head) *roster.Roster {
	lease := max(ag.leaseMS(), head.GetLeaseCeilingMs())
	settled := rs.Settle(ag.ac.EpochHeardSince, ag.ck.Now(), lease)
	left, err := settled.Leave(func(inc string) bool { return ag.gs.Has(kindGone + inc) })
	if err != nil {
		return settled
	}
	return left
}

// change writes a roster under the condition that neither it nor the head changed since it was read.
func (ag *Agent) change(ctx context.Context, next func(rs *roster.Roster, head *configpb.Head) (*roster.Roster, error)) error {
	for range joinAttempts {
		sn, err := ag.read(ctx, publish.HeadKey, roster.EpochKey, roster.Key)
		if err != nil {
			return err
		}
		ag.vc.Hear(sn.head.GetVersion(), sn.head.GetHash())
		to, err := next(sn.rs, sn.head)
		if err != nil {
			return err
		}
		if to == sn.rs {
			ag.register(sn.rs)
			return nil
		}
		done, err := ag.write(ctx, sn, to)
		if err != nil {
			return err
		}
		if done {
			ag.register(to)
			ag.lg.Info("roster-changed", "epoch", to.Epoch(), "members", len(to.Members()), "unsettled", len(to.Message().GetUnsettled()))
			return nil
		}
	}
	return code.Conflict.New("the roster changed %d times meanwhile", joinAttempts)
}

func (ag *Agent) write(ctx context.Context, sn *snapshot, to *roster.Roster) (bool, error) {
	raw, err := to.Bytes()
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	epoch, err := proto.Marshal(&configpb.RosterEpoch{Epoch: to.Epoch()})
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	req := &platformpb.CommitRequest{Operation: uuid.NewString()}
	for _, key := range []string{publish.HeadKey, roster.EpochKey, roster.Key} {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: key, Version: sn.versions[key]})
	}
	req.Writes = []*platformpb.Write{{Key: roster.Key, Value: raw}, {Key: roster.EpochKey, Value: epoch}}
	ctx, cancel := ag.ck.WithTimeout(ctx, tableMS)
	defer cancel()
	rep, err := ag.tbl.Commit(ctx, req)
	return rep.GetCommitted(), err
}
