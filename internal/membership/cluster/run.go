package cluster

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

const (
	minLeaseIntervalMS  = 100
	renewChecksPerLease = 12
	maintainIntervalMS  = 1000
	parallelCalls       = 16
)

// Boot loads the newest configuration and roster from the table, or from the entries at the given addresses if the table doesn't answer.
func (ag *Agent) Boot(ctx context.Context, peerAddresses []string) {
	err := ag.Refresh(ctx)
	if err == nil {
		if err := ag.MaintainRoster(ctx); err != nil {
			ag.lg.Fail("roster-change-failed", err)
		}
		ag.Renew(ctx)
		return
	}
	ag.lg.Fail("boot-without-table", err)
	for _, addr := range peerAddresses {
		ag.FetchFrom(ctx, &configpb.Member{PeerAddress: addr})
	}
}

// Run boots, then renews the lease, sends heartbeats, maintains the roster and drives the acceptance of versions until the context ends.
func (ag *Agent) Run(ctx context.Context, peerAddresses []string) error {
	ag.Boot(ctx, peerAddresses)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return ag.loop(ctx, ag.leaseIntervalMS, ag.leaseTick) })
	eg.Go(func() error { return ag.loop(ctx, fixed(heartbeatIntervalMS), ag.heartbeatTick(peerAddresses)) })
	eg.Go(func() error { return ag.loop(ctx, fixed(maintainIntervalMS), ag.maintainTick) })
	return eg.Wait()
}

// Parallel calls fn for each index below count, up to parallelCalls at a time, and waits for all; pass it to SetForEach.
func Parallel(count int, fn func(i int)) {
	eg := errgroup.Group{}
	eg.SetLimit(parallelCalls)
	for i := range count {
		eg.Go(func() error {
			fn(i)
			return nil
		})
	}
	_ = eg.Wait()
}

// Publish commits the bundle as the next version and pushes it to the other entries; it returns once the version is committed, which may be before it is accepted.
func (ag *Agent) Publish(ctx context.Context, operation string, raw []byte, list []signoff.SignOff) (*configpb.Operation, error) {
	op, err := ag.pb.Publish(ctx, operation, raw, list)
	if err != nil {
		ag.lg.Fail("publish-refused", err, "operation", operation)
		return nil, err
	}
	ag.lg.Info("bundle-kept", "version", op.GetVersion(), "hash", op.GetHash(), "operation", operation)
	ag.DriveAcceptance(op.GetVersion())
	if err := ag.Refresh(ctx); err != nil {
		ag.lg.Fail("refresh-failed", err)
		return op, nil
	}
	ag.PushHeld(ctx)
	return op, nil
}

// DriveAcceptance makes this entry push a version until it is accepted.
func (ag *Agent) DriveAcceptance(version uint64) { ag.setDriven(version) }

// CheckAccepted returns nil if the version is accepted, otherwise an error of code NotYetInForce.
func (ag *Agent) CheckAccepted(version uint64) error {
	if ag.tr.Accepted() >= version {
		return nil
	}
	return code.NotYetInForce.New("version %d is committed but not yet accepted", version)
}

// Status returns the roll-out status of the held version, with one line for each entry.
func (ag *Agent) Status() *configpb.Status {
	head := ag.cf.Head()
	rs := ag.vt.Roster()
	awaited, acceptedAtMS := ag.tr.AwaitedAcks(head.GetVersion())
	st := &configpb.Status{
		Version: head.GetVersion(), Hash: head.GetHash(), Accepted: ag.tr.Accepted(),
		RosterEpoch: rs.Epoch(), UnsettledRosters: uint32(len(rs.Message().GetUnsettled())), LeaseLeftMs: ag.ls.RemainingMS(),
	}
	if st.GetAccepted() < st.GetVersion() {
		st.AcceptedInMs = -1
		if acceptedAtMS > 0 {
			st.AcceptedInMs = max(0, acceptedAtMS-ag.ck.Now())
		}
	}
	isAwaited := map[string]bool{}
	for _, inc := range awaited {
		isAwaited[inc] = true
	}
	for _, mb := range rs.Members() {
		st.Entries = append(st.Entries, ag.entryStatus(mb, isAwaited))
	}
	for inc := range isAwaited {
		st.Entries = append(st.Entries, &configpb.EntryStatus{Incarnation: inc, State: ag.vw.State(inc), WaitedFor: true})
	}
	return st
}

func (ag *Agent) entryStatus(mb *configpb.Member, isAwaited map[string]bool) *configpb.EntryStatus {
	inc := mb.GetIncarnation()
	version, sinceMS := ag.tr.HeldVersion(inc)
	st := &configpb.EntryStatus{Name: mb.GetName(), Incarnation: inc, Zone: mb.GetZone(), Version: version, State: ag.vw.State(inc), WaitedFor: isAwaited[inc]}
	if version > 0 {
		st.AgeMs = ag.ck.Now() - sinceMS
	}
	delete(isAwaited, inc)
	return st
}

func (ag *Agent) leaseIntervalMS() int64 {
	return max(minLeaseIntervalMS, ag.leaseMS()/renewChecksPerLease)
}

func (ag *Agent) leaseTick(ctx context.Context) {
	if ag.RenewDue() {
		ag.Renew(ctx)
	}
	if ag.cf.Version() > 0 {
		ag.CatchUp(ctx)
	}
}

func (ag *Agent) heartbeatTick(peerAddresses []string) func(ctx context.Context) {
	return func(ctx context.Context) {
		ag.SendHeartbeats(ctx)
		if ag.cf.Version() == 0 || len(ag.vt.Roster().Members()) == 0 {
			ag.Boot(ctx, peerAddresses)
		}
	}
}

func (ag *Agent) maintainTick(ctx context.Context) {
	if err := ag.MaintainRoster(ctx); err != nil {
		ag.lg.Fail("roster-change-failed", err)
	}
	ag.PushHeld(ctx)
	ag.logAccepted()
}

func (ag *Agent) logAccepted() {
	accepted := ag.tr.Accepted()
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if accepted > ag.loggedAccepted {
		ag.loggedAccepted = accepted
		ag.lg.Info("bundle-accepted", "version", accepted)
		ag.rg.Set(int64(accepted), "config", "accepted")
	}
}

// loop runs tick at the interval, starting at an offset derived from the incarnation, so that the entries don't all start together.
func (ag *Agent) loop(ctx context.Context, intervalMS func() int64, tick func(ctx context.Context)) error {
	offsetMS := int64(xxhash.Sum64String(ag.self.GetIncarnation()) % heartbeatIntervalMS)
	if err := ag.ck.Sleep(ctx, offsetMS); err != nil {
		return err
	}
	for {
		tick(ctx)
		if err := ag.ck.Sleep(ctx, intervalMS()); err != nil {
			return err
		}
	}
}

func fixed(ms int64) func() int64 { return func() int64 { return ms } }
