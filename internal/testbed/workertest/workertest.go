package workertest

import (
	"slices"
	"sort"
	"strconv"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Worker is one VM; its exported fields determine how runs behave and observe them.
type Worker struct {
	ck        *clock.Clock
	reg       *workpb.VM
	token     int64
	startedMS int64

	running       map[key]*run
	ended         []*workpb.EndedRun
	lastEndNumber int64
	// listedEnd is the highest number of an ended run that was listed.
	listedEnd  int64
	highestRun map[string]int64
	// leaseUntilMS is the VM's clock at which all runs end; calls may move it forward only.
	leaseUntilMS int64
	// advancedMS is when the runs were advanced last, endsAtOnce is set if one was started since that takes no time.
	advancedMS int64
	endsAtOnce bool

	// Behave returns the duration of a run and how it ends; a run with END_UNKNOWN doesn't end by itself.
	Behave func(task string, run int64) (workMS int64, end workpb.End)
	// LongestLeaseMS bounds the lease that a call grants, on the VM's clock.
	LongestLeaseMS int64
	// SlowPercent is by how much the VM's clock runs slow.
	SlowPercent int64
	// SlowdownPercent is how long runs take on the VM relative to others; it may change during runs.
	SlowdownPercent int64
	// Saves reports whether runs of a task save their progress, from which a later run continues.
	Saves func(task string) bool
	// Percent is the progress reported for runs that don't end by themselves or take no time.
	Percent int64
	// Gauge returns the value reported with the progress of a task's run.
	Gauge func(task string) int64
	// Pace holds the last pace ordered for each task, in percent.
	Pace map[string]int64
	// Record is called at the start and at the end of each run; at the end it gets how the run ended.
	Record func(vm, task string, run int64, started bool, end workpb.End)
}

type key struct {
	task string
	run  int64
}

type run struct {
	workMS     int64
	doneMS     int64
	advancedMS int64
	end        workpb.End
	stopAtMS   int64
	stopping   bool
}

const (
	defaultWorkMS = 800
	stopDelayMS   = 100
	// defaultLongestLeaseMS is the LongestLeaseMS of a new VM.
	defaultLongestLeaseMS = 10_000
	percent               = 100
	// maxListedEnds is the number of ended runs that an answer lists at most.
	maxListedEnds = 500
)

// New returns a VM that starts now; it sets the start time in the registration.
func New(ck *clock.Clock, reg *workpb.VM) *Worker {
	reg.BornMs = ck.Now()
	wk := &Worker{ck: ck, reg: reg, startedMS: ck.Now(), running: map[key]*run{}, highestRun: map[string]int64{}, Percent: percent, SlowdownPercent: percent, LongestLeaseMS: defaultLongestLeaseMS, Pace: map[string]int64{}}
	wk.Saves = func(string) bool { return false }
	wk.Gauge = func(string) int64 { return 0 }
	wk.Behave = func(string, int64) (int64, workpb.End) { return defaultWorkMS, workpb.End_END_DONE }
	wk.Record = func(string, string, int64, bool, workpb.End) {}
	return wk
}

// VM returns the VM's registration.
func (wk *Worker) VM() *workpb.VM { return wk.reg }

// Restart ends all runs and starts a new incarnation under the same id; the fencing token, the ended runs and the highest runs are forgotten.
func (wk *Worker) Restart() {
	for ky, rn := range wk.running {
		wk.Record(wk.reg.GetId(), ky.task, ky.run, false, workpb.End_END_STOPPED)
		rn.stopping = true
	}
	wk.reg.BornMs = wk.ck.Now()
	wk.startedMS, wk.token, wk.lastEndNumber, wk.listedEnd, wk.leaseUntilMS, wk.endsAtOnce = wk.ck.Now(), 0, 0, 0, 0, true
	wk.running, wk.ended, wk.highestRun = map[key]*run{}, nil, map[string]int64{}
}

// Running returns the number of runs that have not ended.
func (wk *Worker) Running() int {
	wk.advance()
	return len(wk.running)
}

// ClockMS returns the time on the VM's clock, which begins at 0 in each incarnation.
func (wk *Worker) ClockMS() int64 {
	return (wk.ck.Now() - wk.startedMS) * (percent - wk.SlowPercent) / percent
}

// advance ends the runs whose end, lease expiry or stop is due.
func (wk *Worker) advance() {
	nowMS := wk.ClockMS()
	if nowMS == wk.advancedMS && !wk.endsAtOnce {
		return
	}
	wk.advancedMS, wk.endsAtOnce = nowMS, false
	keys := make([]key, 0, len(wk.running))
	for ky := range wk.running {
		keys = append(keys, ky)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].task < keys[j].task })
	for _, ky := range keys {
		rn := wk.running[ky]
		rn.doneMS += (nowMS - rn.advancedMS) * percent / wk.SlowdownPercent
		rn.advancedMS = nowMS
		switch {
		case rn.stopping && nowMS >= rn.stopAtMS:
			wk.finish(ky, workpb.End_END_STOPPED)
		case nowMS >= wk.leaseUntilMS:
			wk.finish(ky, workpb.End_END_LEASE_EXPIRED)
		case rn.end != workpb.End_END_UNKNOWN && rn.doneMS >= rn.workMS:
			wk.finish(ky, rn.end)
		}
	}
}

func (wk *Worker) finish(ky key, end workpb.End) {
	wk.lastEndNumber++
	wk.ended = append(wk.ended, &workpb.EndedRun{Number: wk.lastEndNumber, Task: ky.task, Run: ky.run, End: end})
	wk.highestRun[ky.task] = max(wk.highestRun[ky.task], ky.run)
	delete(wk.running, ky)
	wk.Record(wk.reg.GetId(), ky.task, ky.run, false, end)
}

// Answer executes an order like Order and returns the VM's clock with the verdict, 1 for 0 since that stands for none.
func (wk *Worker) Answer(od *workpb.Order) *workpb.Outcome {
	return &workpb.Outcome{Verdict: wk.Order(od), ClockMs: max(wk.ClockMS(), 1)}
}

// Order executes an order, unless its fencing token is older than the newest seen.
func (wk *Worker) Order(od *workpb.Order) workpb.Verdict {
	wk.advance()
	if od.GetToken() < wk.token {
		return workpb.Verdict_FENCED
	}
	wk.token = od.GetToken()
	ky := key{od.GetTask(), od.GetRun()}
	switch od.GetVerb() {
	case workpb.Verb_STOP:
		wk.highestRun[ky.task] = max(wk.highestRun[ky.task], ky.run)
		if rn, ok := wk.running[ky]; ok && !rn.stopping {
			rn.stopping, rn.stopAtMS = true, wk.ClockMS()+stopDelayMS
		}
		return workpb.Verdict_ACCEPTED
	case workpb.Verb_START:
		return wk.start(ky, od)
	default:
		wk.Pace[ky.task] = od.GetPercent()
		return workpb.Verdict_ACCEPTED
	}
}

// LeaseUntilMS returns the VM's clock at which all runs end unless their lease is extended.
func (wk *Worker) LeaseUntilMS() int64 { return wk.leaseUntilMS }

// extendLease extends the lease of all runs to a deadline on the VM's clock, as far as the VM grants it.
func (wk *Worker) extendLease(deadlineMS int64) {
	wk.leaseUntilMS = max(wk.leaseUntilMS, min(deadlineMS, wk.ClockMS()+wk.LongestLeaseMS))
}

func (wk *Worker) start(ky key, od *workpb.Order) workpb.Verdict {
	if _, ok := wk.running[ky]; ok {
		wk.extendLease(od.GetLeaseUntilMs())
		return workpb.Verdict_ACCEPTED
	}
	if ky.run <= wk.highestRun[ky.task] {
		wk.extendLease(od.GetLeaseUntilMs())
		return workpb.Verdict_STALE_RUN
	}
	if od.GetLeaseUntilMs() <= wk.ClockMS() {
		return workpb.Verdict_LEASE_PASSED
	}
	workMS, end := wk.Behave(ky.task, ky.run)
	rn := &run{advancedMS: wk.ClockMS(), workMS: workMS, end: end}
	wk.extendLease(od.GetLeaseUntilMs())
	if saved, err := strconv.ParseInt(od.GetCheckpoint(), 10, 64); err == nil && wk.Saves(ky.task) {
		rn.doneMS = workMS * saved / percent
	}
	wk.running[ky] = rn
	wk.endsAtOnce = wk.endsAtOnce || workMS <= 0
	wk.Record(wk.reg.GetId(), ky.task, ky.run, true, workpb.End_END_UNKNOWN)
	return workpb.Verdict_ACCEPTED
}

// Poll renews the leases of the running runs and returns the lists of running and ended runs, of which it returns maxListedEnds at most. Ended runs up to the acknowledged number are dropped.
func (wk *Worker) Poll(lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
	wk.advance()
	if lr.GetToken() < wk.token {
		return nil, workpb.Verdict_FENCED
	}
	wk.token = lr.GetToken()
	lk := &workpb.Look{BornMs: wk.reg.GetBornMs(), ClockMs: max(wk.ClockMS(), 1)}
	wk.extendLease(lr.GetLeaseUntilMs())
	for ky, rn := range wk.running {
		row := &workpb.RunningRun{Task: ky.task, Run: ky.run, Percent: wk.progress(rn), Gauge: wk.Gauge(ky.task)}
		if wk.Saves(ky.task) {
			row.Checkpoint = strconv.FormatInt(row.GetPercent(), 10)
		}
		lk.Running = append(lk.Running, row)
	}
	wk.ended = slices.DeleteFunc(wk.ended, func(end *workpb.EndedRun) bool { return end.GetNumber() <= lr.GetAcknowledged() })
	lk.Ended = slices.Clone(wk.ended[:min(len(wk.ended), maxListedEnds)])
	for _, end := range lk.GetEnded() {
		wk.listedEnd = max(wk.listedEnd, end.GetNumber())
	}
	lk.MoreEnded = len(lk.GetEnded()) == maxListedEnds
	return lk, workpb.Verdict_ACCEPTED
}

// UnreadEnds returns the number of ended runs that weren't listed yet.
func (wk *Worker) UnreadEnds() int {
	count := 0
	for _, end := range wk.ended {
		if end.GetNumber() > wk.listedEnd {
			count++
		}
	}
	return count
}

func (wk *Worker) progress(rn *run) int64 {
	if rn.end == workpb.End_END_UNKNOWN || rn.workMS == 0 {
		return wk.Percent
	}
	return rn.doneMS * percent / rn.workMS
}
