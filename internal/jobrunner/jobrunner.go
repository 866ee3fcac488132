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
type Links struct {
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
	ln *Links
	ck *clock.Clock
	lg *event.Log
	ow *ownership.Ownership

	ct      *jobcontrol.Controller
	events  chan func()
	outbox  map[string]*mailbox
	startMS int64

	committing   bool
	lastCommitMS int64
	lastPlanMS   int64
	dirtyEvent   bool
	lost         bool
	rules        *rulesindex.Index
	pendingMS    int64
	wv           *waves
	mv           *moves
	re           *retirement
	lag          *lag.Lag
	// yielded is set when the ownership is given up since another entry may be faster.
	yielded bool
}

const (
	eventBuffer = 4096
	// planGapMS bounds how often decisions are made and stored; ends and jobs that come together share a commit.
	planGapMS = 15
	// tickMS is how often looks and time-outs are checked without an event.
	tickMS = 30
	// renewMS is the longest pause between commits; the lease is renewed with each.
	renewMS = 300
	// pendingGapMS is how often the counts of waiting jobs are stored.
	pendingGapMS = 600
	// finishMS bounds the wait for the last commit.
	finishMS = 1500
	// leastTermMS is the least time between an owner's start and its yielding.
	leastTermMS = 3000
	// retryMS is the pause before a commit that failed is repeated.
	retryMS = 50
)

// Names of the row that holds the counts of waiting jobs.
const (
	PendingTable = "pending"
	PendingPart  = ownership.Part
	PendingKey   = "counts"
)

// New returns the runner of an ownership that was just taken; runLeaseMS is the lease that runs are given, keepMS how long the rows of jobs stay that are over.
func New(ln *Links, ck *clock.Clock, lg *event.Log, ow *ownership.Ownership, runLeaseMS, keepMS int64) *Runner {
	rn := &Runner{
		ln: ln, ck: ck, lg: lg, ow: ow,
		ct:     jobcontrol.New(ck, lg, ow.Token(), runLeaseMS),
		events: make(chan func(), eventBuffer), outbox: map[string]*mailbox{},
		startMS: ck.Now(), lastCommitMS: ck.Now(), dirtyEvent: true, lag: lag.New(),
	}
	rn.wv = newWaves(rn)
	rn.mv = newMoves(rn)
	rn.re = newRetirement(rn, keepMS)
	return rn
}

// Run schedules until the context ends or another entry has become the owner.
func (rn *Runner) Run(ctx context.Context) error {
	stop := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rn.takeRules()
	if err := rn.restore(ctx); err != nil {
		return err
	}
	rn.lg.Info("scheduling-started", "token", rn.ow.Token(), "after-ms", rn.ck.Now()-rn.startMS)
	tick := time.NewTicker(tickMS * time.Millisecond)
	defer tick.Stop()
	for !rn.lost {
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
func (rn *Runner) noteCall(vd workpb.Verdict, tookMS int64) {
	if vd != workpb.Verdict_NOT_SENT {
		rn.lag.Note(rn.ck.Now(), tookMS)
	}
}

// overloaded reports whether this entry falls behind; a new owner gets some time to catch up, so that a load too high for all doesn't make the ownership wander.
func (rn *Runner) overloaded() bool {
	nowMS := rn.ck.Now()
	return rn.lag.Sustained(nowMS) && nowMS-rn.startMS >= leastTermMS
}

// finish waits for the commit that is under way, since the ownership can't be released before its outcome is known.
func (rn *Runner) finish() error {
	wait, cancel := rn.ck.WithTimeout(context.Background(), finishMS)
	defer cancel()
	for rn.committing && !rn.lost {
		select {
		case fn := <-rn.events:
			fn()
		case <-wait.Done():
			return code.TableInDoubt.New("a commit is still under way")
		}
	}
	if rn.lost {
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
			rn.dirtyEvent = true
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
	rn.takeRules()
	rn.look(ctx)
	rn.wv.step(ctx)
	rn.mv.step(ctx)
	rn.re.step(ctx)
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
	if rn.ln.Advise != nil {
		ad, err = rn.ln.Advise(ctx, rq)
	}
	rn.post(ctx, func() {
		if err != nil {
			rn.lg.Fail("advice-refused", err, "job", rq.GetJob(), "step", rq.GetStep(), "vms", len(rq.GetVms()))
		}
		rn.ct.HandleAdvice(rq, sentMS, ad)
	})
}

func (rn *Runner) takeRules() {
	if ix := rn.ln.Rules(); ix != rn.rules && ix != nil {
		rn.rules = ix
		rn.ct.SetRules(ix)
	}
}

// look starts the looks that are due. An owner that can't renew its lease stops them in time for a successor to know when all leases have run out.
func (rn *Runner) look(ctx context.Context) {
	if rn.ow.SilentMS() > jobcontrol.RenewalWindowMS {
		return
	}
	for _, id := range rn.ct.VMs() {
		if req := rn.ct.NextPoll(id); req != nil {
			go rn.lookAt(ctx, req)
		}
	}
}

func (rn *Runner) lookAt(ctx context.Context, req *workpb.LookRequest) {
	sentMS := rn.ck.Now()
	lk, vd := rn.ln.Look(ctx, req)
	tookMS := rn.ck.Now() - sentMS
	rn.post(ctx, func() {
		if req.GetWaitMs() == 0 {
			rn.noteCall(vd, tookMS)
		}
		if vd == workpb.Verdict_FENCED {
			rn.fenced(req.GetVm(), req.GetToken())
			return
		}
		rn.ct.HandlePoll(req.GetVm(), sentMS, lk, vd)
	})
}

// fenced takes up that a VM has refused a call since it has seen a successor's token.
func (rn *Runner) fenced(vm string, token int64) {
	rn.lg.Info("vm-fenced", "vm", vm, "token", token)
	rn.lost = true
}

// plan decides and stores; one commit is under way at a time.
func (rn *Runner) plan(ctx context.Context) {
	nowMS := rn.ck.Now()
	if rn.committing || nowMS-rn.lastPlanMS < planGapMS {
		return
	}
	renew := nowMS-rn.lastCommitMS >= renewMS
	if !rn.dirtyEvent && !renew {
		return
	}
	rn.dirtyEvent = false
	rn.lastPlanMS = nowMS
	bt := rn.ct.Plan(rn.ow.Held())
	counts := rn.pendingCounts(nowMS)
	upkeeps := rn.wv.unstored()
	if len(bt.Rows()) == 0 && !renew && len(upkeeps) == 0 && counts == nil {
		rn.send(ctx, rn.ct.ConfirmStored(bt))
		return
	}
	rn.committing = true
	rn.lastCommitMS = nowMS
	go rn.commit(ctx, bt, counts, upkeeps, rn.re.take(jobcontrol.MaxRows-len(bt.Rows())))
}

// pendingCounts returns the counts of waiting jobs when they are due to be stored, or nil.
func (rn *Runner) pendingCounts(nowMS int64) *workpb.Pending {
	if nowMS-rn.pendingMS < pendingGapMS {
		return nil
	}
	rn.pendingMS = nowMS
	return rn.ct.Pending()
}

func (rn *Runner) commit(ctx context.Context, bt *jobcontrol.Batch, counts *workpb.Pending, upkeeps []*workpb.Upkeep, retired []string) {
	ch, err := newChange(bt.Rows(), counts, upkeeps, retired)
	for err == nil {
		err = rn.ow.Commit(ctx, ch.fill)
		if err == nil || code.Of(err) == code.LeaseLapsed || ctx.Err() != nil {
			break
		}
		rn.lg.Fail("commit-failed", err, "rows", len(bt.Rows()), "silent-ms", rn.ow.SilentMS())
		err = rn.ck.Sleep(ctx, retryMS)
	}
	rn.post(ctx, func() {
		rn.committing = false
		rn.dirtyEvent = true
		if err != nil {
			rn.lg.Fail("scheduling-lost", err, "token", rn.ow.Token())
			rn.lost = true
			return
		}
		rn.re.removed(retired)
		rn.wv.stored(ctx, upkeeps)
		rn.send(ctx, rn.ct.ConfirmStored(bt))
	})
}
