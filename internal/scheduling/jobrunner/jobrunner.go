package jobrunner

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/lag"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/commitguard"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/ownerload"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/planpace"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/pollpace"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relay"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/startretry"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/startwindow"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/bulkread"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Dependencies are the calls that a runner makes to the store, the VMs and the platform.
type Dependencies struct {
	Store *rowstore.Store
	// Order sends an order to a VM; Poll renews the run leases on a VM and returns its running and ended runs.
	Order func(ctx context.Context, od *workpb.Order) *workpb.Outcome
	Poll  func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict)
	// Relays carries orders and polls through other entries where this entry's link doesn't suffice.
	Relays *relay.Relay
	// LinkBytesPerS is the rate of this entry's link, 0 if it is unknown.
	LinkBytesPerS int64
	// DecodeVM decodes a row of the table RegistryTable, whose keys mostly consist of RegistryPrefix and hexadecimal digits.
	RegistryTable  string
	RegistryPrefix string
	DecodeVM       func(id string, raw []byte) (*workpb.VM, error)
	// Machines lists the machines; Maintain orders the maintenance of one under a fencing token.
	Machines func(ctx context.Context) ([]*workpb.Machine, error)
	Maintain func(ctx context.Context, machine string, wave, token int64) error
	// Move orders a machine to be moved to another pool under a fencing token.
	Move func(ctx context.Context, machine, pool string, token int64) error
	// WaveStatus publishes to the operators whether a wave is running or completed.
	WaveStatus func(ctx context.Context, wave int64, completed bool) error
	// Advise asks the advice service which VMs may run a step; nil if none is configured.
	Advise func(ctx context.Context, rq *workpb.AdviceRequest) (*workpb.Advice, error)
	// Rules returns the rules in force, or nil before the first read; Waves returns all waves.
	Rules func() *rulesindex.Index
	Waves func() []*workpb.Wave
	// SetGauge sets a gauge of the entry's metrics; nil if there are none.
	SetGauge func(val int64, parts ...string)
	// EvacuatedZones returns the availability zones in which the operators allow no starts.
	EvacuatedZones func() map[string]bool
	// MaxHandoverDelayMS is how long after the request to stop this entry may go on scheduling.
	MaxHandoverDelayMS int64
	// OnWaits takes each estimate of queueing delays of this owner, nil for none; it may be nil.
	OnWaits func(row *workpb.Waits)
}

// Runner schedules jobs, maintenance and pool moves for the duration of one ownership; its state belongs to the goroutine of Run.
type Runner struct {
	deps *Dependencies
	ck   *clock.Clock
	lg   *event.Log
	ow   *ownership.Ownership

	ct          *jobcontrol.Controller
	bulk        *bulkread.Reader
	events      chan func()
	orderQueues map[string]*orderQueue
	// openStarts holds the starts whose outcome isn't known.
	openStarts map[orderKey]*queuedOrder
	startMS    int64
	// scheduleStartMS is when the restore had ended.
	scheduleStartMS int64

	renewer    *renewer
	transfers  *transferWatcher
	committing bool
	// guard limits the commits after one was refused; ownerTurn is set when the owner's rows were the last that could be stored alone.
	guard         *commitguard.Guard
	ownerTurn     bool
	commits       sync.WaitGroup
	lastCommitMS  int64
	lastPlanMS    int64
	planDue       bool
	ownershipLost bool
	rules         *rulesindex.Index
	lastCountsMS  int64
	waves         *waves
	pools         *poolResizer
	waits         *waits
	cleaner       *rowCleaner
	levels        *levelGauges
	lag           *lag.Lag
	load          *ownerload.Load
	planPace      *planpace.Pace
	starts        *startwindow.Window
	startRetry    *startretry.Delay
	pollRetry     *startretry.Delay
	pollPace      *pollpace.Pace
	nextPaceMS    int64
	nextScanMS    int64
	nextRelaysMS  int64
	// startAccepted is set once a VM has accepted a start of this ownership.
	startAccepted bool
	// stopRequestedMS is when this entry was requested to stop, 0 if it wasn't.
	stopRequestedMS int64
	// probes counts the answered probes of the store after that request.
	probes int
	// storeProbed is set once all partitions that a successor reads were seen to be available after that request.
	storeProbed bool
	// yielded is set when this entry gives up the ownership because it is overloaded.
	yielded bool
}

const (
	eventBuffer = 4096
	// tickIntervalMS is how often due polls and timeouts are checked without an event.
	tickIntervalMS = 30
	// pollScanIntervalMS is the minimum time between two searches for polls that are due, which visit each VM.
	pollScanIntervalMS = 10
	// renewIntervalMS is the maximum time between commits; each commit renews the ownership lease.
	renewIntervalMS = 300
	// countsIntervalMS is how often the counts of waiting jobs are stored.
	countsIntervalMS = 600
	// finishTimeoutMS bounds the wait for the last commit.
	finishTimeoutMS = 1500
	// maxDrainMS is for how long queued events are handled before the next planning pass.
	maxDrainMS = 50
	// commitRetryMS is the pause before a failed commit is retried.
	commitRetryMS = 50
)

// Location of the row that holds the counts of waiting jobs.
const (
	PendingTable     = "pending"
	PendingPartition = ownership.Partition
	PendingKey       = "counts"
)

// New returns a runner for an ownership that was just acquired; runLeaseMS is the lease length of runs, retentionMS how long the rows of ended jobs are kept.
func New(deps *Dependencies, ck *clock.Clock, lg *event.Log, ow *ownership.Ownership, runLeaseMS, retentionMS int64) *Runner {
	rn := &Runner{
		deps: deps, ck: ck, lg: lg, ow: ow,
		ct:     jobcontrol.New(ck, lg, ow.Token(), runLeaseMS),
		events: make(chan func(), eventBuffer), orderQueues: map[string]*orderQueue{}, openStarts: map[orderKey]*queuedOrder{},
		startMS: ck.Now(), lastCommitMS: ck.Now(), planDue: true, lag: lag.New(), load: ownerload.New(), planPace: planpace.New(), starts: startwindow.New(), startRetry: startretry.New(), pollRetry: startretry.New(),
	}
	rn.pollPace = pollpace.New(deps.LinkBytesPerS)
	rn.bulk = rn.newBulkReader(deps.LinkBytesPerS)
	rn.bulk.OnFailure = func(err error) { rn.lg.Fail("restore-read-failed", err) }
	rn.renewer = newRenewer(rn)
	rn.transfers = newTransferWatcher(rn)
	rn.guard = commitguard.New(maxProgressRows)
	rn.waves = newWaves(rn)
	rn.pools = newPoolResizer(rn)
	rn.cleaner = newRowCleaner(rn, retentionMS)
	rn.levels = newLevelGauges(rn)
	return rn
}

// Run schedules until the context ends, the entry yields, a stronger one asks for the ownership or another one becomes the owner.
func (rn *Runner) Run(ctx context.Context) error {
	stop := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// The ownership isn't safe for concurrent use, so a commit in flight must end before it is released or polled.
	defer rn.commits.Wait()
	defer cancel()
	defer rn.deps.Relays.Update(nil, false)
	rn.applyRules()
	go rn.transfers.run(ctx)
	sn, err := rn.restore(ctx, stop)
	if err != nil || rn.transfers.isDue() {
		// Without an error, a stronger entry has asked for the ownership during the restore.
		return err
	}
	rn.renewer.progressed()
	rn.commits.Go(func() { rn.renewer.run(ctx) })
	rn.apply(ctx, sn)
	rn.scheduleStartMS = rn.ck.Now()
	rn.waits = newWaits(rn, rn.scheduleStartMS)
	if rn.deps.OnWaits != nil {
		defer rn.deps.OnWaits(nil)
	}
	rn.lg.Info("scheduling-started", "token", rn.ow.Token(), "after-ms", rn.scheduleStartMS-rn.startMS, "restored-bytes", rn.bulk.Bytes())
	defer rn.levels.clear()
	tick := time.NewTicker(tickIntervalMS * time.Millisecond)
	defer tick.Stop()
	for !rn.ownershipLost {
		rn.renewer.progressed()
		select {
		case <-stop:
		case fn := <-rn.events:
			fn()
			rn.drainEvents()
		case <-tick.C:
			rn.recordTick()
		}
		if rn.stopRequestedMS == 0 && closed(stop) {
			// Whichever of several ready cases was chosen, nothing is begun after a stop.
			rn.stopRequestedMS, stop = rn.ck.Now(), nil
			rn.renewer.setStopped(true)
			go rn.probeStore(ctx)
		}
		if rn.handoverDue() {
			return rn.finish()
		}
		rn.renewer.setStopped(rn.awaitsProbe())
		if rn.awaitsProbe() {
			continue
		}
		rn.step(ctx)
		if rn.overloaded() {
			rn.yielded = true
			return rn.finish()
		}
		if rn.transfers.isDue() {
			return rn.finish()
		}
	}
	return code.LeaseLapsed.New("another entry owns scheduling now")
}

// closed reports whether a channel on which nothing is sent is closed.
func closed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// recordCall records the latency of a call to a VM in a zone that is answered at once, unlike a long poll.
func (rn *Runner) recordCall(zone string, vd workpb.Verdict, tookMS int64) {
	switch vd {
	case workpb.Verdict_NOT_SENT:
	case workpb.Verdict_IN_DOUBT:
		rn.lag.RecordUnanswered(rn.ck.Now(), zone)
	default:
		rn.lag.Record(rn.ck.Now(), zone, tookMS)
	}
}

// recordPoll records the latency of a poll.
func (rn *Runner) recordPoll(req *workpb.LookRequest, vd workpb.Verdict, tookMS int64) {
	switch {
	case req.GetWaitMs() == 0:
		rn.recordCall(req.GetZone(), vd, tookMS)
	case vd == workpb.Verdict_ACCEPTED:
		rn.lag.RecordLongPoll(rn.ck.Now(), req.GetZone(), tookMS-req.GetWaitMs())
	}
}

// overloaded reports whether this entry falls behind and another one may do better.
func (rn *Runner) overloaded() bool {
	nowMS := rn.ck.Now()
	return rn.lag.Sustained(nowMS) && rn.ow.MayYield(nowMS-rn.scheduleStartMS, rn.linkLimited())
}

// finish waits for the commit in flight, since the ownership cannot be released before its outcome is known.
func (rn *Runner) finish() error {
	wait, cancel := rn.ck.WithTimeout(context.Background(), finishTimeoutMS)
	defer cancel()
	rn.renewer.setStopped(true)
	for (rn.committing || !rn.renewer.idle()) && !rn.ownershipLost {
		select {
		case fn := <-rn.events:
			fn()
		case <-wait.Done():
			return code.TableInDoubt.New("last commit still in flight after %d ms", finishTimeoutMS)
		}
	}
	if rn.ownershipLost {
		return code.LeaseLapsed.New("another entry owns scheduling now")
	}
	return nil
}

// drainEvents runs the queued events, so that one planning pass covers them, as far as maxDrainMS allows.
func (rn *Runner) drainEvents() {
	rn.planDue = true
	for untilMS := rn.ck.Now() + maxDrainMS; rn.ck.Now() < untilMS; {
		select {
		case fn := <-rn.events:
			fn()
			rn.renewer.progressed()
		default:
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

// withinLease returns a context that ends with the ownership lease, and whose calls aren't sent without it. A machine may not check fencing tokens, so an order must not reach it after a successor's.
func (rn *Runner) withinLease(ctx context.Context) (context.Context, context.CancelFunc) {
	return rn.ck.WithTimeout(sendcheck.With(ctx, rn.ow.Held), rn.ow.RemainingMS())
}

func (rn *Runner) step(ctx context.Context) {
	rn.applyRules()
	rn.pollVMs(ctx)
	rn.waves.step(ctx)
	rn.pools.step(ctx)
	rn.cleaner.step(ctx)
	rn.updateRelays(ctx)
	rn.plan(ctx)
	rn.enqueue(ctx, rn.ct.Outbox())
	rn.withdrawUnwantedStarts()
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
		rn.ct.HandleAdvice(rq, sentMS, ad)
	})
}

func (rn *Runner) applyRules() {
	if ix := rn.deps.Rules(); ix != rn.rules && ix != nil {
		rn.rules = ix
		rn.ct.SetRules(ix)
	}
	rn.ct.SetEvacuatedZones(rn.deps.EvacuatedZones())
}

// pollVMs starts the polls that are due. An owner that cannot renew its own lease stops renewing run leases after jobcontrol.RenewalWindowMS, so that a successor knows when all of them have expired.
func (rn *Runner) pollVMs(ctx context.Context) {
	nowMS := rn.ck.Now()
	if nowMS < rn.nextScanMS || rn.ow.SinceRenewalMS() > jobcontrol.RenewalWindowMS {
		return
	}
	rn.nextScanMS = nowMS + pollScanIntervalMS
	rn.paceCalls(nowMS)
	for _, req := range rn.ct.DuePolls() {
		maxCopies := maxPollCopies
		if !rn.ct.Responsive(req.GetVm()) {
			// It is polled again soon, and most likely answers none of them.
			maxCopies = 1
		}
		go rn.pollVM(ctx, req, maxCopies)
	}
}

func (rn *Runner) pollVM(ctx context.Context, req *workpb.LookRequest, maxCopies int) {
	an := rn.sendPoll(ctx, req, maxCopies)
	arrivedMS := rn.ck.Now()
	rn.post(ctx, func() {
		rn.recordPoll(req, an.verdict, an.tookMS)
		rn.recordPollSize(an.look)
		if an.verdict == workpb.Verdict_FENCED && !rn.outdated(req.GetVm(), req.GetToken()) {
			rn.handleFenced(req.GetVm(), req.GetToken())
			return
		}
		if an.verdict == workpb.Verdict_FENCED {
			an.verdict = workpb.Verdict_IN_DOUBT
		}
		if an.copy > 1 {
			rn.ct.HandleRepeatedPoll(req.GetVm())
		}
		rn.ct.HandleWaitingPoll(req.GetVm(), an.sentMS, arrivedMS, an.look, an.verdict)
	})
}

// outdated reports whether a call was made for an earlier incarnation of a VM, whose successor was called under a higher fencing token since.
func (rn *Runner) outdated(vm string, token int64) bool { return token < rn.ct.TokenOf(vm) }

// handleFenced handles a VM that refused a call because it has seen a higher fencing token.
func (rn *Runner) handleFenced(vm string, token int64) {
	rn.lg.Info("vm-fenced", "vm", vm, "token", token)
	rn.ownershipLost = true
}

// plan makes a planning pass and commits its result; at most one commit is in flight.
func (rn *Runner) plan(ctx context.Context) {
	nowMS := rn.ck.Now()
	if rn.committing || nowMS-rn.lastPlanMS < rn.planPace.IntervalMS() {
		return
	}
	renew := nowMS-rn.lastCommitMS >= renewIntervalMS
	if !rn.planDue && !renew {
		return
	}
	rn.planDue = false
	rn.lastPlanMS = nowMS
	rn.ct.LimitStarts(rn.startLimit())
	var waveRows []*workpb.Upkeep
	waveBytes := 0
	withOwnerRows := rn.takesOwnerRows()
	if withOwnerRows {
		waveRows, waveBytes = rn.dueWaves()
	}
	rn.limitBatch(len(waveRows), waveBytes)
	bt := rn.ct.Plan(rn.ow.Held())
	rn.planPace.Record(rn.ck.Now() - nowMS)
	rows := &ownerRows{}
	if withOwnerRows {
		rows = rn.dueRows(nowMS, waveRows, bt)
	}
	if bt.Empty() && !renew && len(rows.list()) == 0 {
		rn.enqueue(ctx, rn.ct.ConfirmStored(bt))
		return
	}
	rn.committing = true
	rn.lastCommitMS = nowMS
	if withOwnerRows {
		rn.addShares(rows, bt)
	}
	rn.levels.report(rn.ct.ShareLevels, rn.ct.DeferredJobs)
	removed := rn.cleaner.nextProgress(rn.freeEntries(bt, rows))
	rn.commits.Go(func() { rn.commit(ctx, bt, rows, removed) })
}

// pendingCounts returns the counts of waiting jobs when they are due to be stored, or nil.
func (rn *Runner) pendingCounts(nowMS int64) *workpb.Pending {
	if nowMS-rn.lastCountsMS < countsIntervalMS {
		return nil
	}
	rn.lastCountsMS = nowMS
	return rn.ct.Pending()
}

// commit retries until the commit is applied, the store refuses it for its content, the ownership is lost or the runner stops; once applied, it sends the orders that depend on it. Only the first attempt stores the estimate: a later one would pass it to the entries as a recent one.
func (rn *Runner) commit(ctx context.Context, bt *jobcontrol.Batch, rows *ownerRows, removed []rowKey) {
	held := *rows
	rn.renewer.begin()
	ch, err := newChange(bt, rows, removed)
	for err == nil {
		err = rn.ow.Commit(ctx, ch.writeTo)
		if err == nil || code.Of(err) == code.LeaseLapsed || code.Of(err) == code.TableRefused || ctx.Err() != nil {
			break
		}
		rn.lg.Fail("commit-failed", err, "rows", len(bt.Rows()), "silent-ms", rn.ow.SinceRenewalMS())
		if rows.estimate != nil {
			ch, rows.estimate = ch.without(waitestimate.Table), nil
		}
		err = rn.ck.Sleep(ctx, commitRetryMS)
	}
	version := rn.ow.Version()
	rn.renewer.end()
	rn.post(ctx, func() {
		rn.committing = false
		rn.planDue = true
		if code.Of(err) == code.TableRefused {
			rn.handleRefused(bt, &held, err)
			return
		}
		if err != nil {
			rn.loseOwnership(err)
			return
		}
		rn.guard.RecordStored()
		rn.ct.SetLatestToken(version)
		rn.cleaner.progressRemoved(removed)
		rn.waves.rowsStored(ctx, rows.waves)
		if rows.estimate != nil {
			rn.waits.es.Stored(rows.estimate)
		}
		rn.enqueue(ctx, rn.ct.ConfirmStored(bt))
	})
}

// loseOwnership ends scheduling after a commit that failed for good.
func (rn *Runner) loseOwnership(err error) {
	rn.lg.Fail("scheduling-lost", err, "token", rn.ow.Token())
	rn.ownershipLost = true
}
