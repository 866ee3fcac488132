package jobrunner

import (
	"context"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/lag"
	"github.com/fulmarloft/fulmarloft/internal/ownership"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Links are the calls that a runner makes; an adapter sets them.
type Dependencies struct {
	Store *rowstore.Store
	// Order sends an order to a VM, Look renews the leases there and reads its lists.
	Order func(ctx context.Context, od *workpb.Order) workpb.Verdict
	Look  func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict)
	// DecodeVM decodes a row of the table RegistryTable.
	RegistryTable string
	DecodeVM      func(id string, raw []byte) (*workpb.VM, error)
	// Machines lists the machines, Maintain orders the maintenance of one under a fencing token.
	Machines func(ctx context.Context) ([]*workpb.Machine, error)
	Maintain func(ctx context.Context, machine string, wave, token int64) error
	// Move orders a machine into another pool under a fencing token.
	Move func(ctx context.Context, machine, pool string, token int64) error
	// WaveStatus tells the operators how far a wave has come.
	WaveStatus func(ctx context.Context, wave int64, completed bool) error
	// Advise asks which VMs may run a step; nil where nobody can be asked.
	Advise func(ctx context.Context, rq *workpb.AdviceRequest) (*workpb.Advice, error)
	// Rules returns the rules in force, nil before the first ones were read; Waves returns all waves.
	Rules func() *rulesindex.Index
	Waves func() []*workpb.Wave
}

// Runner runs one ownership.
type Runner struct {
	deps *Dependencies
	ck   *clock.Clock
	lg   *event.Log
	ow   *ownership.Ownership

	ct          *jobcontrol.Controller
	events      chan func()
	orderQueues map[string]*orderQueue
	startMS     int64

	committing    bool
	lastCommitMS  int64
	lastPlanMS    int64
	planDue       bool
	ownershipLost bool
	rules         *rulesindex.Index
	lastCountsMS  int64
	waves         *waves
	pools         *poolResizer
	cleaner       *rowCleaner
	lag           *lag.Lag
	// yielded is set when the ownership is given up since another entry may be faster.
	yielded bool
}

const (
	eventBuffer = 4096
	// planGapMS bounds how often decisions are made and stored; ends and jobs that come together share a commit.
	planIntervalMS = 15
	// tickMS is how often looks and time-outs are checked without an event.
	tickIntervalMS = 30
	// renewMS is the longest pause between commits; the lease is renewed with each.
	renewIntervalMS = 300
	// pendingGapMS is how often the counts of waiting jobs are stored.
	countsIntervalMS = 600
	// finishMS bounds the wait for the last commit.
	finishTimeoutMS = 1500
	// leastTermMS is the least time between an owner's start and its yielding.
	minTermMS = 3000
	// retryMS is the pause before a commit that failed is repeated.
	commitRetryMS = 50
)

// Names of the row that holds the counts of waiting jobs.
const (
	PendingTable = "pending"
	PendingPart  = ownership.Part
	PendingKey   = "counts"
)

// New returns the runner of an ownership that was just taken; runLeaseMS is the lease that runs are given, retentionMS how long the rows of jobs stay that are over.
func New(deps *Dependencies, ck *clock.Clock, lg *event.Log, ow *ownership.Ownership, runLeaseMS, retentionMS int64) *Runner {
	rn := &Runner{
		deps: deps, ck: ck, lg: lg, ow: ow,
		ct:     jobcontrol.New(ck, lg, ow.Token(), runLeaseMS),
		events: make(chan func(), eventBuffer), orderQueues: map[string]*orderQueue{},
		startMS: ck.Now(), lastCommitMS: ck.Now(), planDue: true, lag: lag.New(),
	}
	rn.waves = newWaves(rn)
	rn.pools = newPoolResizer(rn)
	rn.cleaner = newRowCleaner(rn, retentionMS)
	return rn
}

// Run schedules until the context ends or another entry has become the owner.
func (rn *Runner) Run(ctx context.Context) error {
	stop := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rn.applyRules()
	if err := rn.restore(ctx); err != nil {
		return err
	}
	rn.lg.Info("scheduling-started", "token", rn.ow.Token(), "after-ms", rn.ck.Now()-rn.startMS)
	tick := time.NewTicker(tickIntervalMS * time.Millisecond)
	defer tick.Stop()
	for !rn.ownershipLost {
		select {
		case <-stop:
			return rn.finish()
		case fn := <-rn.events:
			fn()
			rn.drainEvents()
		case <-tick.C:
		}
		rn.step(ctx)
		if rn.overloaded() {
			rn.yielded = true
			return rn.finish()
		}
	}
	return code.LeaseLapsed.New("another entry schedules now")
}

// noteCall takes up how long a call at a VM took that answers at once.
func (rn *Runner) recordCall(vd workpb.Verdict, tookMS int64) {
	if vd != workpb.Verdict_NOT_SENT {
		rn.lag.Note(rn.ck.Now(), tookMS)
	}
}

// overloaded reports whether this entry falls behind; a new owner gets some time to catch up, so that a load too high for all doesn't make the ownership wander.
func (rn *Runner) overloaded() bool {
	nowMS := rn.ck.Now()
	return rn.lag.Sustained(nowMS) && nowMS-rn.startMS >= minTermMS
}

// finish waits for the commit that is under way, since the ownership can't be released before its outcome is known.
func (rn *Runner) finish() error {
	wait, cancel := rn.ck.WithTimeout(context.Background(), finishTimeoutMS)
	defer cancel()
	for rn.committing && !rn.ownershipLost {
		select {
		case fn := <-rn.events:
			fn()
		case <-wait.Done():
			return code.TableInDoubt.New("a commit is still under way")
		}
	}
	if rn.ownershipLost {
		return code.LeaseLapsed.New("another entry schedules now")
	}
	return nil
}

func (rn *Runner) drainEvents() {
	for {
		select {
		case fn := <-rn.events:
			fn()
		default:
			rn.planDue = true
			return
		}
	}
}

// post runs fn on the runner's goroutine.
func (rn *Runner) post(ctx context.Context, fn func()) {
	select {
	case rn.events <- fn:
	case <-ctx.Done():
	}
}

func (rn *Runner) step(ctx context.Context) {
	rn.applyRules()
	rn.lookAtVMs(ctx)
	rn.waves.step(ctx)
	rn.pools.step(ctx)
	rn.cleaner.step(ctx)
	rn.plan(ctx)
	rn.send(ctx, rn.ct.Outbox())
	for _, rq := range rn.ct.AdviceRequests() {
		go rn.advise(ctx, rq)
	}
}

func (rn *Runner) advise(ctx context.Context, rq *workpb.AdviceRequest) {
	sentMS := rn.ck.Now()
	var ad *workpb.Advice
	err := error(code.PeerUnreachable)
	if rn.deps.Advise != nil {
		ad, err = rn.deps.Advise(ctx, rq)
	}
	rn.post(ctx, func() {
		if err != nil {
			rn.lg.Fail("advice-refused", err, "job", rq.GetJob(), "step", rq.GetStep(), "vms", len(rq.GetVms()))
		}
		rn.ct.Advised(rq, sentMS, ad)
	})
}

func (rn *Runner) applyRules() {
	if ix := rn.deps.Rules(); ix != rn.rules && ix != nil {
		rn.rules = ix
		rn.ct.SetRules(ix)
	}
}

// look starts the looks that are due. An owner that can't renew its lease stops them in time for a successor to know when all leases have run out.
func (rn *Runner) lookAtVMs(ctx context.Context) {
	if rn.ow.SinceRenewalMS() > jobcontrol.PredecessorMS {
		return
	}
	for _, id := range rn.ct.VMs() {
		if req := rn.ct.NextLook(id); req != nil {
			go rn.lookAtVM(ctx, req)
		}
	}
}

func (rn *Runner) lookAtVM(ctx context.Context, req *workpb.LookRequest) {
	sentMS := rn.ck.Now()
	lk, vd := rn.deps.Look(ctx, req)
	tookMS := rn.ck.Now() - sentMS
	rn.post(ctx, func() {
		if req.GetWaitMs() == 0 {
			rn.recordCall(vd, tookMS)
		}
		if vd == workpb.Verdict_FENCED {
			rn.handleFenced(req.GetVm(), req.GetToken())
			return
		}
		rn.ct.Looked(req.GetVm(), sentMS, lk, vd)
	})
}

// fenced takes up that a VM has refused a call since it has seen a successor's token.
func (rn *Runner) handleFenced(vm string, token int64) {
	rn.lg.Info("vm-fenced", "vm", vm, "token", token)
	rn.ownershipLost = true
}

// plan decides and stores; one commit is under way at a time.
func (rn *Runner) plan(ctx context.Context) {
	nowMS := rn.ck.Now()
	if rn.committing || nowMS-rn.lastPlanMS < planIntervalMS {
		return
	}
	renew := nowMS-rn.lastCommitMS >= renewIntervalMS
	if !rn.planDue && !renew {
		return
	}
	rn.planDue = false
	rn.lastPlanMS = nowMS
	bt := rn.ct.Plan(rn.ow.Held())
	counts := rn.pendingCounts(nowMS)
	upkeeps := rn.waves.changedRows()
	if len(bt.Rows()) == 0 && !renew && len(upkeeps) == 0 && counts == nil {
		rn.send(ctx, rn.ct.Stored(bt))
		return
	}
	rn.committing = true
	rn.lastCommitMS = nowMS
	go rn.commit(ctx, bt, counts, upkeeps, rn.cleaner.nextProgressIDs(jobcontrol.MaxRows-len(bt.Rows())))
}

// pendingCounts returns the counts of waiting jobs when they are due to be stored, or nil.
func (rn *Runner) pendingCounts(nowMS int64) *workpb.Pending {
	if nowMS-rn.lastCountsMS < countsIntervalMS {
		return nil
	}
	rn.lastCountsMS = nowMS
	return rn.ct.Pending()
}

func (rn *Runner) commit(ctx context.Context, bt *jobcontrol.Batch, counts *workpb.Pending, upkeeps []*workpb.Upkeep, expired []string) {
	ch, err := newChange(bt.Rows(), counts, upkeeps, expired)
	for err == nil {
		err = rn.ow.Commit(ctx, ch.writeTo)
		if err == nil || code.Of(err) == code.LeaseLapsed || ctx.Err() != nil {
			break
		}
		rn.lg.Fail("commit-failed", err, "rows", len(bt.Rows()), "silent-ms", rn.ow.SinceRenewalMS())
		err = rn.ck.Sleep(ctx, commitRetryMS)
	}
	rn.post(ctx, func() {
		rn.committing = false
		rn.planDue = true
		if err != nil {
			rn.lg.Fail("scheduling-lost", err, "token", rn.ow.Token())
			rn.ownershipLost = true
			return
		}
		rn.cleaner.progressRemoved(expired)
		rn.waves.rowsStored(ctx, upkeeps)
		rn.send(ctx, rn.ct.Stored(bt))
	})
}
