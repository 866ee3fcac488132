package jobrunner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relay"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	registryTable = "vms"
	// orderTimeoutMS is the timeout of an order, pollMarginMS that of a poll beyond the wait that it asks for.
	orderTimeoutMS = 300
	pollMarginMS   = 350
)

// simulation runs a store, VMs and entries under the virtual time of synctest.
type simulation struct {
	t  *testing.T
	ck *clock.Clock
	st *rowstoretest.Store
	in *intake.Intake

	mu          sync.Mutex
	workers     map[string]*workertest.Worker
	machines    []*workpb.Machine
	moves       map[string]string
	tokens      map[string]int64
	live        map[string]bool
	done        map[string]bool
	entries     map[string]*entry
	retentionMS int64
	// loses reports whether the answer of a VM to a call is lost; the call then ends with its timeout.
	loses func(vm string) bool
	// unresponsive VMs answer no polls; answerDelayMS is how long each VM's answer to an order takes.
	unresponsive  map[string]bool
	answerDelayMS map[string]int64
	// arrivalDelayMS is how long orders take until VMs execute them.
	arrivalDelayMS int64
	// allowDuplicates is set where duplicate runs of a task are allowed.
	allowDuplicates bool
	lastStartMS     int64
	// starts counts the starts of each task.
	starts map[string]int
	// intercept reports whether it took an order away, which then gets no answer.
	intercept func(od *workpb.Order) bool
	// stopped holds the runs whose stop an entry has sent, by run and fencing token.
	stopped map[string]bool
	// losePoll reports whether a poll gets no answer.
	losePoll func(lr *workpb.LookRequest) bool
	// pollDelayMS is how much later than in general polls are answered.
	pollDelayMS int64
	// lg is the log of the entries.
	lg *event.Log
	// rules returns the rules in force.
	rules func() *rulesindex.Index
	// movesHang is set while move orders get no answer; lastMoveEndMS is when the last one was given up.
	movesHang     bool
	lastMoveEndMS int64
	// waves are the maintenance waves that operators requested, maintained holds the machines whose maintenance began for each, completed the waves reported as completed.
	waves      []*workpb.Wave
	maintained map[int64]map[string]bool
	completed  map[int64]bool
	// rowsRead counts the rows that entries have read, rowsReadAtStart is their number at the last start.
	rowsRead        int
	rowsReadAtStart int
	// unansweredTable is a table whose reads get no answer.
	unansweredTable string
	// unavailable is a partition of the store that can't be read.
	unavailable string
	// pausedDeletions counts the deletions of job rows before which an entry was paused, lateDeletions those that it would send afterwards; pauseDeletions is set while it is.
	pauseDeletions  bool
	pausedDeletions int
	lateDeletions   int
	// setGauge takes the entries' gauges.
	setGauge func(val int64, parts ...string)
}

// entry is one scheduling process with its own connection to the store.
type entry struct {
	cancel context.CancelFunc
	ended  chan struct{}
	mu     sync.Mutex
	cut    bool
	// slowMS is the added latency of each of its calls to VMs; stuck is set while none of them is answered before its timeout.
	slowMS int64
	stuck  bool
	// link carries all of its calls, nil if they take no time.
	link *pacedLink
}

func (en *entry) setStuck(stuck bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.stuck = stuck
}

func (en *entry) setSlow(ms int64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.slowMS = ms
}

// delay adds the latency of a slow machine to a call and reports whether it is too late for an answer.
func (en *entry) delay() bool {
	en.mu.Lock()
	slowMS, stuck := en.slowMS, en.stuck
	en.mu.Unlock()
	time.Sleep(time.Duration(slowMS) * time.Millisecond)
	return stuck
}

func (en *entry) isCut() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.cut
}

func (en *entry) setCut(cut bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.cut = cut
}

func simulate(t *testing.T, run func(si *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		si := &simulation{
			t: t, ck: ck, st: rowstoretest.New(ck), workers: map[string]*workertest.Worker{}, moves: map[string]string{},
			tokens: map[string]int64{}, live: map[string]bool{}, done: map[string]bool{}, entries: map[string]*entry{},
			unresponsive: map[string]bool{}, answerDelayMS: map[string]int64{}, starts: map[string]int{}, stopped: map[string]bool{},
			maintained: map[int64]map[string]bool{}, completed: map[int64]bool{},
		}
		si.intercept = func(*workpb.Order) bool { return false }
		si.loses = func(string) bool { return false }
		si.losePoll = func(*workpb.LookRequest) bool { return false }
		si.lg = event.Discard()
		si.rules = rules()
		si.in = intake.New(si.st.Rowstore())
		for at := range 4 {
			si.addVM(fmt.Sprintf("vm-%d", at))
		}
		run(si)
		for _, en := range si.entries {
			en.cancel()
			<-en.ended
		}
		// Calls to VMs that are still delayed must end before the test does.
		si.wait(2000)
	})
}

func (si *simulation) addVM(id string) { si.addVMIn("", id) }

func (si *simulation) addVMIn(zone, id string) {
	vm := &workpb.VM{Id: id, Service: "s", Address: id, CpuMilli: 8000, MemoryMb: 8000, Machine: "m-" + id, Zone: zone}
	wk := workertest.New(si.ck, vm)
	wk.Record = si.record
	si.workers[id] = wk
	si.machines = append(si.machines, &workpb.Machine{Id: "m-" + id, Pool: "s", Up: true, Vm: id, CpuMilli: 8000})
	raw, err := proto.Marshal(vm)
	qt.Assert(si.t, err, qt.IsNil)
	_, _, err = si.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put(registryTable, id, raw))
	qt.Assert(si.t, err, qt.IsNil)
}

// record fails the test if a task runs twice at once or again after it has completed; the caller holds the simulation's lock.
func (si *simulation) record(vm, task string, run int64, started bool, end workpb.End) {
	if !started {
		delete(si.live, task)
		si.done[task] = si.done[task] || end == workpb.End_END_DONE
		return
	}
	si.lastStartMS = si.ck.Now()
	si.rowsReadAtStart = si.rowsRead
	si.starts[task]++
	if (si.live[task] && !si.allowDuplicates) || si.done[task] {
		si.t.Errorf("task %s run %d started on %s although running=%v or done=%v", task, run, vm, si.live[task], si.done[task])
	}
	si.live[task] = true
}

func (si *simulation) start(name string) { si.startOn(name, nil, 1) }

// startOn starts an entry of some strength whose calls take a link.
func (si *simulation) startOn(name string, link *pacedLink, strength int64) {
	si.startWith(name, link, strength, func(*jobrunner.Dependencies, *ownership.Ownership) {})
}

// startWith does so with changes to its dependencies and ownership.
func (si *simulation) startWith(name string, link *pacedLink, strength int64, change func(*jobrunner.Dependencies, *ownership.Ownership)) {
	ctx, cancel := context.WithCancel(si.t.Context())
	en := &entry{cancel: cancel, ended: make(chan struct{}), link: link}
	si.entries[name] = en
	st := link.store(si.storeOf(en))
	ow := ownership.New(st, si.ck, name, fmt.Sprintf("%s.%d", name, si.ck.Now()), strength).WithLink(link.rate())
	deps := &jobrunner.Dependencies{
		Store: st,
		Order: func(ctx context.Context, od *workpb.Order) *workpb.Outcome {
			link.transfer(ctx, callBytes+int64(len(od.GetPayload())))
			if en.delay() || si.answerLost(od.GetVm()) {
				si.wait(orderTimeoutMS)
				return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
			}
			return si.order(ctx, od)
		},
		Poll: func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
			link.transfer(ctx, callBytes)
			if en.delay() || si.answerLost(lr.GetVm()) {
				si.wait(lr.GetWaitMs() + pollMarginMS)
				return nil, workpb.Verdict_IN_DOUBT
			}
			lk, vd := si.poll(ctx, lr)
			link.transfer(ctx, callBytes+int64(proto.Size(lk))*lookFactor)
			return lk, vd
		},
		LinkBytesPerS: link.rate(),
		RegistryTable: registryTable, RegistryPrefix: "vm-", DecodeVM: decodeVM,
		Machines: si.list, Maintain: si.maintain, Move: si.move,
		WaveStatus: si.waveStatus, SetGauge: si.setGauge,
		Rules: si.rules, Waves: si.waveSpecs, EvacuatedZones: func() map[string]bool { return nil },
	}
	deps.MaxHandoverDelayMS = maxHandoverDelayMS
	deps.Relays = relay.New(si.ck, event.Discard(), link.rate())
	change(deps, ow)
	sc := jobrunner.NewScheduler(deps, si.ck, si.lg, ow, 0, si.retentionMS)
	go func() {
		sc.Run(ctx)
		close(en.ended)
	}()
}

// kill stops an entry without letting its release reach the store.
func (si *simulation) kill(name string) {
	si.entries[name].setCut(true)
	si.entries[name].cancel()
	<-si.entries[name].ended
	delete(si.entries, name)
}

func (si *simulation) storeOf(en *entry) *rowstore.Store {
	inner := si.st.Rowstore()
	cut := func() error {
		if en.isCut() {
			return code.TableUnavailable.New("connection to the store is cut")
		}
		return nil
	}
	return &rowstore.Store{
		Limits: inner.Limits,
		Read: func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			if err := cut(); err != nil {
				return rowstore.Page{}, err
			}
			if si.readHangs(table) {
				<-ctx.Done()
				return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
			}
			if si.isUnavailable(partition) {
				return rowstore.Page{}, code.TableUnavailable.New("partition %s is unavailable", partition)
			}
			pg, err := inner.Read(ctx, table, partition, from, to)
			si.mu.Lock()
			defer si.mu.Unlock()
			si.rowsRead += len(pg.Rows())
			return pg, err
		},
		Partitions: func(ctx context.Context, table string) ([]string, error) {
			if err := cut(); err != nil {
				return nil, err
			}
			return inner.Partitions(ctx, table)
		},
		Commit: func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			if err := cut(); err != nil {
				return 0, nil, err
			}
			if si.deletionIsPaused(ctx, en, tx) {
				return 0, nil, code.TableUnavailable.New("not sent")
			}
			return inner.Commit(ctx, tx)
		},
		Feed: func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			if err := cut(); err != nil {
				return rowstore.Page{}, err
			}
			return inner.Feed(ctx, table, after, waitMS)
		},
	}
}

// deletionIsPaused cuts an entry off and waits for the end of its lease if it is about to delete rows of jobs, and reports whether it did.
func (si *simulation) deletionIsPaused(ctx context.Context, en *entry, tx *rowstore.Tx) bool {
	si.mu.Lock()
	paused := si.pauseDeletions && tx.Partition() != ownership.Partition && len(tx.Removes()) > 0
	si.mu.Unlock()
	if !paused {
		return false
	}
	en.setCut(true)
	si.wait(ownership.LeaseMS + 1)
	si.mu.Lock()
	defer si.mu.Unlock()
	si.pausedDeletions++
	if sendcheck.Allowed(ctx) {
		si.lateDeletions++
	}
	return true
}

// readHangs reports whether reads of a table get no answer.
func (si *simulation) readHangs(table string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return table == si.unansweredTable
}

func decodeVM(_ string, raw []byte) (*workpb.VM, error) {
	vm := &workpb.VM{}
	return vm, proto.Unmarshal(raw, vm)
}

func rules() func() *rulesindex.Index {
	ix := rulesindex.New(&workpb.Rules{
		Version:  1,
		Queues:   []*workpb.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMs: 600}},
		Services: []*workpb.Service{{Name: "s"}, {Name: "z", Standby: true}},
	})
	return func() *rulesindex.Index { return ix }
}

func (si *simulation) order(_ context.Context, od *workpb.Order) *workpb.Outcome {
	si.mu.Lock()
	arrivalMS := si.arrivalDelayMS
	si.mu.Unlock()
	si.wait(arrivalMS)
	si.mu.Lock()
	si.checkStopped(od)
	if si.intercept(od) {
		si.mu.Unlock()
		si.wait(unansweredMS)
		return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
	}
	oc := si.workers[od.GetVm()].Answer(od)
	delayMS := si.answerDelayMS[od.GetVm()]
	si.mu.Unlock()
	si.wait(delayMS)
	return oc
}

// checkStopped fails the test if an entry sends the start of a run after its stop; the caller holds the simulation's lock.
func (si *simulation) checkStopped(od *workpb.Order) {
	key := fmt.Sprintf("%s run %d token %d", od.GetTask(), od.GetRun(), od.GetToken())
	switch od.GetVerb() {
	case workpb.Verb_STOP:
		si.stopped[key] = true
	case workpb.Verb_START:
		if si.stopped[key] {
			si.t.Errorf("start of %s is sent after its stop", key)
		}
	case workpb.Verb_PACE:
	}
}

func (si *simulation) poll(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
	if si.pollIsLost(lr) {
		_ = si.ck.Sleep(ctx, lr.GetWaitMs()+unansweredPollMS)
		return nil, workpb.Verdict_IN_DOUBT
	}
	si.mu.Lock()
	delayMS := si.pollDelayMS
	si.mu.Unlock()
	_ = si.ck.Sleep(ctx, min(lr.GetWaitMs(), 50)+delayMS)
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.unresponsive[lr.GetVm()] {
		return nil, workpb.Verdict_IN_DOUBT
	}
	return si.workers[lr.GetVm()].Poll(lr)
}

// answerLost reports whether a VM's answer to a call is lost.
func (si *simulation) answerLost(vm string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.loses(vm)
}

func (si *simulation) list(context.Context) ([]*workpb.Machine, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	var out []*workpb.Machine
	for _, mc := range si.machines {
		out = append(out, proto.Clone(mc).(*workpb.Machine))
	}
	return out, nil
}

// move fails the test if a machine with runs is moved, and rejects fencing tokens that fall.
func (si *simulation) move(ctx context.Context, machine, pool string, token int64) error {
	if si.movesHang {
		<-ctx.Done()
		si.mu.Lock()
		defer si.mu.Unlock()
		si.lastMoveEndMS = si.ck.Now()
		return code.TableInDoubt.Wrap(ctx.Err())
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	if token < si.tokens[machine] {
		return code.LeaseLapsed.New("token %d is older than token %d", token, si.tokens[machine])
	}
	si.tokens[machine] = token
	si.moves[machine] = pool
	for _, mc := range si.machines {
		if mc.GetId() != machine {
			continue
		}
		if running := si.workers[mc.GetVm()].Running(); running > 0 {
			si.t.Errorf("machine %s is moved with %d runs on it", machine, running)
		}
		mc.Pool = pool
	}
	return nil
}

func (si *simulation) submit(id string, tasks int32) {
	jb := &workpb.Job{Id: id, Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
		{Count: tasks, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800},
		{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, After: []int32{0}},
	}}
	qt.Assert(si.t, si.in.Submit(context.Background(), jb), qt.IsNil)
}

func (si *simulation) wait(forMS int64) { time.Sleep(time.Duration(forMS) * time.Millisecond) }

func (si *simulation) state(id string) workpb.State {
	st, err := si.in.State(context.Background(), id)
	qt.Assert(si.t, err, qt.IsNil)
	return st
}
