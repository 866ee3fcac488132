package cluster

import (
	"context"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/publish"
	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/membership/roster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// snapshot is the content of the configuration and roster rows from one read; startMS is the time before the read, from which a lease counts.
type snapshot struct {
	head     *configpb.Head
	epoch    *configpb.RosterEpoch
	rs       *roster.Roster
	versions map[string]uint64
	startMS  int64
}

func (ag *Agent) readRows(ctx context.Context, keys ...string) (*snapshot, error) {
	sn := &snapshot{head: &configpb.Head{}, epoch: &configpb.RosterEpoch{}, versions: map[string]uint64{}, startMS: ag.ck.Now()}
	fullRoster := &configpb.Roster{}
	ctx, cancel := ag.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	rep, err := ag.tbl.Read(ctx, &platformpb.ReadRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	messages := map[string]proto.Message{publish.HeadKey: sn.head, roster.EpochKey: sn.epoch, roster.Key: fullRoster}
	for _, row := range rep.GetRows() {
		sn.versions[row.GetKey()] = row.GetVersion()
		if err := proto.Unmarshal(row.GetValue(), messages[row.GetKey()]); err != nil {
			return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
		}
	}
	sn.rs = roster.New(fullRoster)
	return sn, nil
}

// Renew extends the lease by one small read of the table, or by the votes of the other entries if the read fails.
func (ag *Agent) Renew(ctx context.Context) {
	sn, err := ag.readRows(ctx, publish.HeadKey, roster.EpochKey)
	if err != nil {
		ag.rg.Count(1, "config", "table-reads-failed")
		ag.RenewByVotes(ctx)
		return
	}
	ag.vt.ObserveCommitted(sn.head.GetVersion(), sn.head.GetHash())
	ag.vt.ObserveEpoch(sn.epoch.GetEpoch())
	if ag.isBehind() || ag.rosterRowVersion() != sn.versions[roster.EpochKey] {
		if err := ag.Refresh(ctx); err != nil {
			ag.lg.Fail("refresh-failed", err)
		}
		return
	}
	ag.grantLease(sn, ag.vt.Roster())
}

// RenewDue reports whether a third of the lease length has passed.
func (ag *Agent) RenewDue() bool {
	return ag.ls.RemainingMS() <= ag.leaseMS()*(renewDivisor-1)/renewDivisor
}

// Refresh reads the head and the full roster, fetches the head's content if it is newer than the held version, and extends the lease.
func (ag *Agent) Refresh(ctx context.Context) error {
	sn, err := ag.readRows(ctx, publish.HeadKey, roster.EpochKey, roster.Key)
	if err != nil {
		return err
	}
	ag.vt.ObserveCommitted(sn.head.GetVersion(), sn.head.GetHash())
	ag.vt.ObserveEpoch(sn.rs.Epoch())
	ag.adoptRoster(sn.rs)
	ag.setRosterRowVersion(sn.versions[roster.EpochKey])
	if sn.head.GetVersion() > ag.cf.Version() {
		if err := ag.fetchContent(ctx, sn.head); err != nil {
			return err
		}
	}
	ag.grantLease(sn, sn.rs)
	return nil
}

// rosterRowVersion returns the row version of roster.EpochKey that the roster in use was read with; dropping settled rosters changes it too, though not the epoch.
func (ag *Agent) rosterRowVersion() uint64 {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.epochRowVersion
}

func (ag *Agent) setRosterRowVersion(version uint64) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.epochRowVersion = max(ag.epochRowVersion, version)
}

func (ag *Agent) fetchContent(ctx context.Context, head *configpb.Head) error {
	raw, err := ag.get(ctx, publish.ObjectName(head.GetHash()))
	if err != nil {
		return err
	}
	return ag.adopt(head, raw)
}

// grantLease extends the lease if the read showed that the held version is the head and this incarnation is registered; the lease counts from before the read.
func (ag *Agent) grantLease(sn *snapshot, rs *roster.Roster) {
	if sn.head.GetVersion() == 0 || sn.epoch.GetEpoch() != rs.Epoch() {
		return
	}
	ag.watchAcceptance(sn.head, rs)
	ag.mu.Lock()
	leaving := ag.deregistering
	ag.mu.Unlock()
	if sn.head.GetVersion() == ag.cf.Version() && rs.Has(ag.self.GetIncarnation()) && !leaving {
		ag.ls.Grant(sn.head.GetVersion(), sn.startMS, ag.leaseMS())
	}
}

// watchAcceptance starts tracking the acceptance of the head by the members of the rosters that may confirm leases.
func (ag *Agent) watchAcceptance(head *configpb.Head, rs *roster.Roster) {
	ag.mu.Lock()
	if ag.watchedVersion < head.GetVersion() {
		ag.watchedVersion = head.GetVersion()
		ag.headSinceMS = ag.ck.Now()
	}
	ag.mu.Unlock()
	ag.tr.Watch(head.GetVersion(), head.GetLeaseCeilingMs(), rs.Groups())
	ag.tr.RecordAck(ag.ack())
}

// MaintainRoster registers this entry if it isn't; on the coordinator it also removes entries that are gone and drops settled rosters.
func (ag *Agent) MaintainRoster(ctx context.Context) error {
	ag.tr.RecordAck(ag.ack())
	rs := ag.vt.Roster()
	self := ag.self.GetIncarnation()
	if !rs.Has(self) {
		return ag.Join(ctx)
	}
	if !ag.vw.IsCoordinator(rs.Members()) {
		return nil
	}
	ag.heartbeatUnsettled(ctx, rs)
	if ag.pruneRoster(rs, ag.cf.Head()) == rs {
		return nil
	}
	return ag.changeRoster(ctx, func(rs *roster.Roster, head *configpb.Head) (*roster.Roster, error) {
		return ag.pruneRoster(rs, head), nil
	})
}

// heartbeatUnsettled sends, while there are unsettled rosters, a heartbeat to each entry that isn't known to have heard of the current one; an entry that doesn't exchange heartbeats with this one would never report it otherwise.
func (ag *Agent) heartbeatUnsettled(ctx context.Context, rs *roster.Roster) {
	if len(rs.Message().GetUnsettled()) == 0 {
		return
	}
	var unheard []*configpb.Member
	for _, mb := range rs.Members() {
		_, heard := ag.tr.EpochHeardSince(mb.GetIncarnation(), rs.Epoch())
		if !heard && mb.GetIncarnation() != ag.self.GetIncarnation() && ag.vw.State(mb.GetIncarnation()) != liveness.Dead {
			unheard = append(unheard, mb)
		}
	}
	ag.forEach(len(unheard), func(i int) { ag.sendHeartbeat(ctx, unheard[i]) })
}

// Join registers this entry; an incarnation that was registered once and then removed doesn't register again.
func (ag *Agent) Join(ctx context.Context) error {
	ag.mu.Lock()
	barred := ag.wasRegistered || ag.deregistering
	ag.mu.Unlock()
	if barred {
		return nil
	}
	return ag.changeRoster(ctx, func(rs *roster.Roster, _ *configpb.Head) (*roster.Roster, error) { return rs.Join(ag.self) })
}

// Leave removes this entry from the roster; from then on it grants itself no lease by reading the table.
func (ag *Agent) Leave(ctx context.Context) error {
	ag.mu.Lock()
	ag.deregistering = true
	ag.mu.Unlock()
	self := ag.self.GetIncarnation()
	return ag.changeRoster(ctx, func(rs *roster.Roster, _ *configpb.Head) (*roster.Roster, error) {
		return rs.Remove(func(inc string) bool { return inc == self })
	})
}

// pruneRoster returns the roster without settled rosters and without entries that are gone, or the same roster if nothing changes.
func (ag *Agent) pruneRoster(rs *roster.Roster, head *configpb.Head) *roster.Roster {
	leaseMS := max(ag.leaseMS(), head.GetLeaseCeilingMs())
	settled := rs.Settle(ag.tr.EpochHeardSince, ag.ck.Now(), leaseMS)
	pruned, err := settled.Remove(func(inc string) bool { return ag.gs.Has(gonePrefix + inc) })
	if err != nil {
		return settled
	}
	return pruned
}

// changeRoster commits the roster that next returns, on condition that neither the roster nor the head has changed since the read, and retries after a conflict.
func (ag *Agent) changeRoster(ctx context.Context, next func(rs *roster.Roster, head *configpb.Head) (*roster.Roster, error)) error {
	for range maxRosterAttempts {
		sn, err := ag.readRows(ctx, publish.HeadKey, roster.EpochKey, roster.Key)
		if err != nil {
			return err
		}
		ag.vt.ObserveCommitted(sn.head.GetVersion(), sn.head.GetHash())
		changed, err := next(sn.rs, sn.head)
		if err != nil {
			return err
		}
		if changed == sn.rs {
			ag.adoptRoster(sn.rs)
			return nil
		}
		committed, err := ag.commitRoster(ctx, sn, changed)
		if err != nil {
			return err
		}
		if committed {
			ag.adoptRoster(changed)
			ag.lg.Info("roster-changed", "epoch", changed.Epoch(), "members", len(changed.Members()), "unsettled", len(changed.Message().GetUnsettled()))
			return nil
		}
	}
	return code.Conflict.New("no roster change in %d attempts: the roster or the head was changed concurrently each time", maxRosterAttempts)
}

func (ag *Agent) commitRoster(ctx context.Context, sn *snapshot, changed *roster.Roster) (bool, error) {
	raw, err := changed.Bytes()
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	epoch, err := proto.Marshal(&configpb.RosterEpoch{Epoch: changed.Epoch()})
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	req := &platformpb.CommitRequest{Operation: uuid.NewString()}
	for _, key := range []string{publish.HeadKey, roster.EpochKey, roster.Key} {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: key, Version: sn.versions[key]})
	}
	req.Writes = []*platformpb.Write{{Key: roster.Key, Value: raw}, {Key: roster.EpochKey, Value: epoch}}
	ctx, cancel := ag.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	rep, err := ag.tbl.Commit(ctx, req)
	return rep.GetCommitted(), err
}
