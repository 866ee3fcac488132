package jobcontrol_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
)

const (
	historyStartMS = 1_000_000
	historyStepMS  = 20
	// historyLeaseMS is the lease of runs, as on the platform.
	historyLeaseMS = 4000
	// maxHistoryMS is the end of a history: the last fault, an order that is executed last, an expired lease, and the longest job after that.
	maxHistoryMS = faultSpanMS + maxFaultMS + maxLateMS + 120_000
	// Late orders are executed between minLateMS and maxLateMS after they were sent.
	minLateMS = 2000
	maxLateMS = 12_000
	// answerTimeoutMS is when a call without an answer is given up.
	answerTimeoutMS = 300
	percentAll      = 100
)

// history runs a controller, its successors and simulated VMs through a plan, and compares what runs on the VMs with every limit.
type history struct {
	pl       *historyPlan
	ck       *clock.Clock
	lg       *event.Log
	ct       *jobcontrol.Controller
	owner    int64
	hosts    []*host
	queues   map[string]*startQueue
	calls    int64
	pending  []*delayed
	sequence int64
	// registry holds the VMs' registrations, jobs and stored the rows of the store.
	registry  map[string]*workpb.VM
	jobs      map[string]*workpb.Job
	cancelled map[string]bool
	stored    storedRows
	service   string
	services  map[string]bool
	// executing is the order that a VM executes at the moment.
	executing *sentOrder
	commit    *jobcontrol.Batch
	// evacuated holds the zones that are evacuated, evacuatedKnown those of which the owner knows it, forgotten how the jobs ended that it has forgotten.
	evacuated, evacuatedKnown map[string]bool
	forgotten                 map[string]workpb.State
	capCPU                    int64
	nextListMS                int64
	// token is the highest fencing token of the owner so far.
	token int64
	// restarts holds the restarts that happen while the next starts are under way.
	restarts []fault
	// events counts the owner's log events by name.
	events map[string]int
	checks
}

// tokensPerOwner is the number of fencing tokens between those of two owners.
const tokensPerOwner = 1_000_000

// renewIntervalMS is how often an owner that has nothing to store renews its ownership.
const renewIntervalMS = 300

// delayed is an action at a later time.
type delayed struct {
	atMS     int64
	sequence int64
	fn       func()
}

// host is a VM and what can be known about it from outside.
type host struct {
	wk *workertest.Worker
	vm *workpb.VM
	// down is set while the VM doesn't run, cut while it can't be reached, gone once it has ended for good.
	down, cut, gone bool
	// failing is set while all that the VM runs fails.
	failing     bool
	incarnation int
	// knownIncarnation is the incarnation of which the owner has heard.
	knownIncarnation int
	// silentMS is for how long the VM is silent after the next start that it accepts, 0 if it goes on answering.
	silentMS int64
}

func newHistory(pl *historyPlan) *history {
	hs := &history{
		pl: pl, ck: clock.NewFake(historyStartMS - pl.ageMS()), lg: event.Discard(), registry: map[string]*workpb.VM{}, jobs: map[string]*workpb.Job{},
		cancelled: map[string]bool{}, stored: storedRows{}, service: "s", services: map[string]bool{"s": true},
		evacuated: map[string]bool{}, forgotten: map[string]workpb.State{}, events: map[string]int{}, capCPU: pl.capCPU,
	}
	hs.lg.OnEvent(func(name string, _ []any) { hs.events[name]++ })
	hs.checks = newChecks()
	for at, vm := range pl.vms {
		hs.addHost(proto.Clone(vm).(*workpb.VM))
		if at < len(pl.agesMS) {
			hs.ck.Advance(pl.agesMS[at])
		}
	}
	hs.startOwner()
	return hs
}

func (hs *history) addHost(vm *workpb.VM) *host {
	vm.Labels = append(vm.Labels, "only-"+vm.GetId())
	ht := &host{vm: vm, wk: workertest.New(hs.ck, vm)}
	ht.wk.Record = func(_, task string, run int64, started bool, end workpb.End) { hs.record(ht, task, run, started, end) }
	ht.wk.Behave = func(task string, run int64) (int64, workpb.End) {
		if ht.failing {
			return hs.draw(300, "failing", task, run), workpb.End_END_FAILED
		}
		return hs.behave(task, run)
	}
	ht.wk.SlowPercent = hs.draw(maxSlowPercent+1, "slow-clock", vm.GetId())
	hs.setSpeed(ht)
	hs.hosts = append(hs.hosts, ht)
	hs.register(ht)
	return ht
}

// draw returns a number below limit that depends on the seed and on the parts only, so that it stays the same when other parts of a plan are left out.
func (hs *history) draw(limit int64, parts ...any) int64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, hs.pl.seed, parts)
	return int64(sum.Sum64() % uint64(limit))
}

func (hs *history) behave(task string, run int64) (int64, workpb.End) {
	st, nm := hs.stepOf(task)
	if st.GetLasting() {
		return 0, workpb.End_END_UNKNOWN
	}
	if st.GetGang() {
		task = fmt.Sprint(nm.Job(), nm.Occurrence(), nm.Step())
	}
	if hs.draw(percentAll, "fails", task, run) < 4 {
		return hs.draw(500, "fails-after", task, run), workpb.End_END_FAILED
	}
	workMS := 50 + hs.draw(hs.pl.workBoundMS(nm.Job()), "takes", task, run)
	if hs.pl.paced && !st.GetGang() {
		workMS = hs.pacedWorkMS(task)
	}
	return workMS, workpb.End_END_DONE
}

func (hs *history) after(delayMS int64, fn func()) {
	hs.sequence++
	hs.pending = append(hs.pending, &delayed{atMS: hs.ck.Now() + delayMS, sequence: hs.sequence, fn: fn})
}

// toOwner runs fn after a delay, unless the owner has been replaced meanwhile.
func (hs *history) toOwner(delayMS int64, fn func()) {
	owner := hs.owner
	hs.after(delayMS, func() {
		if hs.ct != nil && hs.owner == owner {
			fn()
		}
	})
}

// active returns the largest share of the faults of a kind that are under way, 0 if there is none.
func (hs *history) active(kind faultKind) int64 {
	share, sinceMS := int64(0), hs.ck.Now()-historyStartMS
	for _, ft := range hs.pl.faults {
		if ft.kind == kind && sinceMS >= ft.atMS && sinceMS < ft.atMS+ft.forMS {
			share = max(share, ft.share)
		}
	}
	return share
}

// hits reports whether a call is one of the share that a fault concerns.
func (hs *history) hits(kind faultKind, call int64) bool {
	share := hs.active(kind)
	return share > 0 && hs.draw(percentAll, kind, call) < share
}

// run plays the plan until all jobs have ended after the last fault.
func (hs *history) run() {
	for _, pj := range hs.pl.jobs {
		hs.after(pj.atMS, func() { hs.submit(pj.row) })
	}
	for _, ft := range hs.pl.faults {
		hs.after(ft.atMS, func() { hs.begin(ft) })
	}
	for hs.ck.Now() < historyStartMS+hs.pl.lastsMS() && !hs.quiet() {
		hs.step()
		if len(hs.violations) > 0 {
			return
		}
	}
	hs.checkEnd()
	hs.checkRoom()
}

// step advances the clock, and the VMs and the owner act.
func (hs *history) step() {
	hs.ck.Advance(historyStepMS)
	for _, ht := range hs.hosts {
		ht.wk.Running()
	}
	hs.noteLapsedLeases()
	hs.runDue()
	if hs.ct != nil {
		hs.stepOwner()
		hs.checkAccounts()
	}
}

func (hs *history) runDue() {
	nowMS := hs.ck.Now()
	var due, later []*delayed
	for _, dl := range hs.pending {
		if dl.atMS <= nowMS {
			due = append(due, dl)
		} else {
			later = append(later, dl)
		}
	}
	hs.pending = later
	slices.SortFunc(due, func(one, other *delayed) int {
		return cmp.Or(cmp.Compare(one.atMS, other.atMS), cmp.Compare(one.sequence, other.sequence))
	})
	for _, dl := range due {
		dl.fn()
	}
}

// quiet reports whether all faults are over, and every job has ended and nothing is left of it.
func (hs *history) quiet() bool {
	if hs.ck.Now() < historyStartMS+hs.pl.faultsOverMS() || hs.ct == nil {
		return false
	}
	for id := range hs.jobs {
		if !hs.lasts(id) && !hs.final(id) {
			return false
		}
	}
	return true
}

func (hs *history) final(id string) bool {
	state, ok := hs.forgotten[id]
	if !ok {
		state = hs.stored.state(id)
	}
	switch state {
	case workpb.State_COMPLETED, workpb.State_FAILED, workpb.State_CANCELLED:
		return true
	default:
		return false
	}
}

func (hs *history) submit(row *workpb.Job) {
	row = proto.Clone(row).(*workpb.Job)
	row.AcceptedMs = hs.ck.Now()
	hs.jobs[row.GetId()] = row
	hs.toOwner(hs.draw(maxFeedDelayMS, "submitted", row.GetId()), func() { hs.ct.Submit(row) })
}

func (hs *history) rules() *workpb.Rules {
	return &workpb.Rules{
		Version:  1,
		Queues:   []*workpb.Queue{{Name: "q", Service: hs.service, MaxAttempts: historyAttempts, Stretch: 1.6, TargetMs: 600}},
		Services: []*workpb.Service{{Name: "s"}, {Name: "u"}},
		Teams:    []*workpb.Team{{Name: "t", CapCpuMilli: hs.capCPU, Weight: hs.weight()}},
	}
}

// startOwner makes a controller of the stored rows.
func (hs *history) startOwner() {
	hs.owner++
	hs.queues = map[string]*startQueue{}
	hs.commit = nil
	hs.ct = jobcontrol.New(hs.ck, hs.lg, hs.owner*tokensPerOwner, historyLeaseMS)
	hs.token = hs.owner * tokensPerOwner
	hs.ct.SetLatestToken(hs.token)
	hs.ct.SetRules(rulesindex.New(hs.rules()))
	for _, id := range sortedKeys(hs.jobs) {
		if _, ok := hs.forgotten[id]; ok {
			continue
		}
		hs.ct.Restore(hs.jobs[id], hs.stored.of(id))
		if hs.cancelled[id] {
			hs.ct.Cancel(id)
		}
	}
	for _, id := range sortedKeys(hs.registry) {
		hs.applyRegistration(id)
	}
}

func sortedKeys[V any](rows map[string]V) []string {
	var out []string
	for key := range rows {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

func (hs *history) stepOwner() {
	hs.readMachines()
	hs.applyEvacuations()
	hs.forgetEnded()
	polls := hs.ct.DuePolls()
	slices.SortFunc(polls, func(one, other *workpb.LookRequest) int { return cmp.Compare(one.GetVm(), other.GetVm()) })
	for _, lr := range polls {
		hs.sendPoll(lr)
	}
	if hs.commit == nil {
		hs.plan()
	}
	hs.enqueue(hs.ct.Outbox())
	for _, id := range sortedKeys(hs.queues) {
		hs.sendWaiting(hs.queues[id])
	}
}

// renew renews the ownership now and then, which allows a higher fencing token.
func (hs *history) renew() {
	if hs.ck.Now()%renewIntervalMS == 0 {
		hs.token++
		hs.ct.SetLatestToken(hs.token)
	}
}

// plan makes a planning pass; its rows are stored after a while, and by then the owner may have been replaced.
func (hs *history) plan() {
	bt := hs.ct.Plan(true)
	if bt.Empty() {
		hs.renew()
		hs.enqueue(hs.ct.ConfirmStored(bt))
		return
	}
	hs.commit = bt
	hs.calls++
	delayMS := historyStepMS * hs.draw(3, "commit", hs.calls)
	if hs.active(slowCommits) > 0 {
		delayMS = hs.draw(800, "slow-commit", hs.calls)
	}
	change := changeOf(bt)
	owner, applied := hs.owner, hs.draw(2, "applied", hs.calls) == 0
	hs.after(delayMS, func() {
		if hs.owner != owner || (hs.ct == nil && !applied) {
			return
		}
		hs.stored.apply(change)
		hs.token++
		if hs.ct != nil {
			hs.commit = nil
			hs.ct.SetLatestToken(hs.token)
			hs.enqueue(hs.ct.ConfirmStored(bt))
		}
	})
}
