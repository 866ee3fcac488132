package agree

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

const (
	leaseStepMS   = 100
	leaseSteps    = 12
	maintainMS    = 1000
	parallelCalls = 16
)

// Boot takes the newest configuration and roster from the table, or from the first entries that answer.
func (ag *Agent) Boot(ctx context.Context, first []string) {
	err := ag.Refresh(ctx)
	if err == nil {
		if err := ag.Maintain(ctx); err != nil {
			ag.lg.Fail("roster-change-failed", err)
		}
		ag.Renew(ctx)
		return
	}
	ag.lg.Fail("boot-without-table", err)
	for _, addr := range first {
		ag.FetchFrom(ctx, &configpb.Member{PeerAddress: addr})
	}
}

// Run boots, then renews the lease, sends heartbeats, registers the entry and drives acceptance until the context ends.
func (ag *Agent) Run(ctx context.Context, first []string) error {
	ag.Boot(ctx, first)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return ag.loop(ctx, ag.leaseStep, ag.leaseRound) })
	eg.Go(func() error { return ag.loop(ctx, fixed(beatMS), ag.beatRound(first)) })
	eg.Go(func() error { return ag.loop(ctx, fixed(maintainMS), ag.maintainRound) })
	return eg.Wait()
}

// Parallel runs the calls of a round at once, a bounded number at a time; it fits SetForEach.
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

// Publish makes the bundle the next version and tells the entries; it returns once the version is kept, which is before it is accepted.
func (ag *Agent) Publish(ctx context.Context, operation string, raw []byte, list []signoff.SignOff) (*configpb.Operation, error) {
	kept, err := ag.pb.Publish(ctx, operation, raw, list)
	if err != nil {
		ag.lg.Fail("publish-refused", err, "operation", operation)
		return nil, err
	}
	ag.lg.Info("bundle-kept", "version", kept.GetVersion(), "hash", kept.GetHash(), "operation", operation)
	ag.DriveAcceptance(kept.GetVersion())
	if err := ag.Refresh(ctx); err != nil {
		ag.lg.Fail("refresh-failed", err)
		return kept, nil
	}
	ag.PushOnce(ctx)
	return kept, nil
}

// DriveAcceptance makes this entry drive the acceptance of a version.
func (ag *Agent) DriveAcceptance(version uint64) { ag.drive(version) }

// CheckAccepted returns nil once the version is accepted, else an error of code NotYetInForce.
func (ag *Agent) CheckAccepted(version uint64) error {
	if ag.ac.Accepted() >= version {
		return nil
	}
	return code.NotYetInForce.New("version %d is kept but not yet in force everywhere", version)
}

// Status tells how far the newest version has come, entry by entry.
func (ag *Agent) Status() *configpb.Status {
	head := ag.cf.Head()
	rs := ag.vc.Roster()
	waits, at := ag.ac.AwaitedAcks(head.GetVersion())
	st := &configpb.Status{
		Version: head.GetVersion(), Hash: head.GetHash(), Accepted: ag.ac.Accepted(),
		RosterEpoch: rs.Epoch(), UnsettledRosters: uint32(len(rs.Message().GetUnsettled())), LeaseLeftMs: ag.ls.RemainingMS(),
	}
	if st.GetAccepted() < st.GetVersion() {
		st.AcceptedInMs = -1
		if at > 0 {
			st.AcceptedInMs = max(0, at-ag.ck.Now())
		}
	}
	waited := map[string]bool{}
	for _, inc := range waits {
		waited[inc] = true
	}
	for _, mb := range rs.Members() {
		st.Entries = append(st.Entries, ag.entryStatus(mb, waited))
	}
	for inc := range waited {
		st.Entries = append(st.Entries, &configpb.EntryStatus{Incarnation: inc, State: ag.mv.State(inc), WaitedFor: true})
	}
	return st
}

func (ag *Agent) entryStatus(mb *configpb.Member, waited map[string]bool) *configpb.EntryStatus {
	inc := mb.GetIncarnation()
	version, since := ag.ac.HeldVersion(inc)
	st := &configpb.EntryStatus{Name: mb.GetName(), Incarnation: inc, Zone: mb.GetZone(), Version: version, State: ag.mv.State(inc), WaitedFor: waited[inc]}
	if version > 0 {
		st.AgeMs = ag.ck.Now() - since
	}
	delete(waited, inc)
	return st
}

func (ag *Agent) leaseStep() int64 { return max(leaseStepMS, ag.leaseMS()/leaseSteps) }

func (ag *Agent) leaseRound(ctx context.Context) {
	if ag.RenewDue() {
		ag.Renew(ctx)
	}
	if ag.cf.Version() > 0 {
		ag.CatchUp(ctx)
	}
}

func (ag *Agent) beatRound(first []string) func(ctx context.Context) {
	return func(ctx context.Context) {
		ag.BeatOnce(ctx)
		if ag.cf.Version() == 0 || len(ag.vc.Roster().Members()) == 0 {
			ag.Boot(ctx, first)
		}
	}
}

func (ag *Agent) maintainRound(ctx context.Context) {
	if err := ag.Maintain(ctx); err != nil {
		ag.lg.Fail("roster-change-failed", err)
	}
	ag.PushOnce(ctx)
	ag.logAccepted()
}

func (ag *Agent) logAccepted() {
	accepted := ag.ac.Accepted()
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if accepted > ag.logged {
		ag.logged = accepted
		ag.lg.Info("bundle-accepted", "version", accepted)
		ag.rg.Set(int64(accepted), "config", "accepted")
	}
}

func (ag *Agent) loop(ctx context.Context, step func() int64, round func(ctx context.Context)) error {
	phase := int64(xxhash.Sum64String(ag.self.GetIncarnation()) % beatMS)
	if err := ag.ck.Sleep(ctx, phase); err != nil {
		return err
	}
	for {
		round(ctx)
		if err := ag.ck.Sleep(ctx, step()); err != nil {
			return err
		}
	}
}

func fixed(ms int64) func() int64 { return func() int64 { return ms } }
