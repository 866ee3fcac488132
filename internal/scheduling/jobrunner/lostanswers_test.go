package jobrunner_test

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// unansweredPollMS is how long the caller waits for a poll's answer beyond the requested wait.
	unansweredPollMS = 350
	// minLateMS and maxLateMS bound how much later an unanswered order is carried out.
	minLateMS = 2000
	maxLateMS = 12_000
	// objectiveMS is the time in which callers want a job of loseAnswersUnder: 1.6 times its critical path of 1,600 ms and 600 ms.
	objectiveMS = 1600*8/5 + 600
	// jobIntervalMS is the time between two jobs, which take half of the VMs' room.
	jobIntervalMS = 500
	jobCount      = 40
)

func (si *simulation) pollIsLost(lr *workpb.LookRequest) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.losePoll(lr)
}

// lottery draws whether calls are lost, by what is called and how often, so that the order of calls to different VMs doesn't matter.
type lottery struct {
	seed   int
	counts map[string]int
}

// draw reports whether a call is lost, and returns another number drawn for it.
func (lt *lottery) draw(call string, percent uint64) (lost bool, number uint64) {
	lt.counts[call]++
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s %d", lt.seed, call, lt.counts[call])
	number = hash.Sum64() >> 16
	return number%100 < percent, number / 100
}

// loseAnswers makes percentages of the polls and orders go without an answer; the orders are carried out late.
func (si *simulation) loseAnswers(seed int, polls, orders uint64) {
	si.mu.Lock()
	defer si.mu.Unlock()
	lt := &lottery{seed: seed, counts: map[string]int{}}
	si.losePoll = func(lr *workpb.LookRequest) bool {
		lost, _ := lt.draw(lr.GetVm(), polls)
		return lost
	}
	si.intercept = func(od *workpb.Order) bool {
		lost, number := lt.draw(fmt.Sprintf("%s %s %d", od.GetVerb(), od.GetTask(), od.GetRun()), orders)
		if lost {
			go func() {
				si.wait(minLateMS + int64(number%(maxLateMS-minLateMS)))
				si.mu.Lock()
				defer si.mu.Unlock()
				si.workers[od.GetVm()].Order(od)
			}()
		}
		return lost
	}
}

// submitWide submits a job with a critical path of 1,600 ms whose starts queue up on each VM.
func (si *simulation) submitWide(id string) {
	jb := &workpb.Job{Id: id, Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
		{Count: 24, CpuMilli: 400, MemoryMb: 10, EstimateMs: 800},
		{Count: 1, CpuMilli: 400, MemoryMb: 10, EstimateMs: 800, After: []int32{0}},
	}}
	qt.Assert(si.t, si.in.Submit(context.Background(), jb), qt.IsNil)
}

var completedLine = regexp.MustCompile(`event="job-completed".* age-ms=(\d+)`)

// inTime counts the jobs that completed within their objective, and returns the longest time.
func inTime(qc *testing.T, log string) (count int, longestMS int64) {
	for _, match := range completedLine.FindAllStringSubmatch(log, -1) {
		ageMS, err := strconv.ParseInt(match[1], 10, 64)
		qt.Assert(qc, err, qt.IsNil)
		if ageMS <= objectiveMS {
			count++
		}
		longestMS = max(longestMS, ageMS)
	}
	return count, longestMS
}

// Callers want their jobs in time while answers of VMs are lost, since the VMs work on.
func TestJobsAreInTimeWhileAnswersAreLost(t *testing.T) {
	const minInTimePercent, seeds = 95, 3
	for _, tc := range []struct{ polls, orders uint64 }{
		{polls: 0, orders: 0},
		{polls: 25, orders: 0},
		{polls: 50, orders: 0},
		{polls: 0, orders: 25},
		{polls: 0, orders: 50},
		{polls: 25, orders: 25},
		{polls: 50, orders: 50},
	} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("polls %d, orders %d, seed %d", tc.polls, tc.orders, seed), func(t *testing.T) {
				simulate(t, func(si *simulation) {
					var log bytes.Buffer
					si.lg = event.New(&log)
					si.start("one")
					si.wait(3000)
					si.loseAnswers(seed, tc.polls, tc.orders)
					for at := range jobCount {
						si.submitWide(fmt.Sprintf("%016x", at+1))
						si.wait(jobIntervalMS)
					}
					si.loseAnswers(seed, 0, 0)
					si.wait(2 * maxLateMS)
					si.entries["one"].cancel()
					<-si.entries["one"].ended
					count, longestMS := inTime(t, log.String())
					silent := bytes.Count(log.Bytes(), []byte(`event="vm-silent"`))
					t.Logf("%d of %d jobs in time, the last one after %d ms; VMs silent %d times", count, jobCount, longestMS, silent)
					qt.Check(t, count*100 >= minInTimePercent*jobCount, qt.IsTrue)
					for at := range jobCount {
						qt.Check(t, si.state(fmt.Sprintf("%016x", at+1)), qt.Equals, workpb.State_COMPLETED)
					}
				})
			})
		}
	}
}

var silentLine = regexp.MustCompile(`event="vm-silent" vm="vm-0"`)

// A VM that answers no poll is noticed after one held poll and one more, however often they are sent.
func TestSilentVMIsNoticedAfterTwoPolls(t *testing.T) {
	const heldPollMS, intervalMS, tickMS = 600, 120, 50
	simulate(t, func(si *simulation) {
		var log bytes.Buffer
		si.lg = event.New(&log)
		si.start("one")
		si.wait(3000)
		si.submitWide("00000000000000aa")
		si.wait(300)
		si.mu.Lock()
		si.losePoll = func(lr *workpb.LookRequest) bool { return lr.GetVm() == "vm-0" }
		si.mu.Unlock()
		si.wait(intervalMS + heldPollMS + 2*unansweredPollMS + tickMS)
		si.entries["one"].cancel()
		<-si.entries["one"].ended
		qt.Assert(t, silentLine.MatchString(log.String()), qt.IsTrue)
	})
}

// Starts that wait for a VM which answers no order are held back once their VM seems to be silent, and their tasks start elsewhere.
func TestStartsAreHeldBackFromAVMThatAnswersNoOrder(t *testing.T) {
	const maxStarts, noticedMS = 5, 600
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		silent, tasks, lastMS := "", map[string]bool{}, int64(0)
		si.mu.Lock()
		si.intercept = func(od *workpb.Order) bool {
			if silent == "" {
				silent = od.GetVm()
			}
			if od.GetVm() == silent && od.GetVerb() == workpb.Verb_START {
				tasks[od.GetTask()] = true
				lastMS = si.ck.Now()
			}
			return od.GetVm() == silent
		}
		si.mu.Unlock()
		submitMS := si.ck.Now()
		si.submitWide("00000000000000aa")
		si.wait(noticedMS + 300)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, len(tasks) >= 1 && len(tasks) <= maxStarts, qt.IsTrue, qt.Commentf("%d starts", len(tasks)))
		qt.Check(t, lastMS-submitMS <= noticedMS, qt.IsTrue, qt.Commentf("last start after %d ms", lastMS-submitMS))
		started := 0
		for _, count := range si.starts {
			started += count
		}
		qt.Check(t, started, qt.Equals, 24-len(tasks))
	})
}

// A VM that doesn't answer is polled again soon, so copies of its polls would only cost connections.
func TestPollsOfAnUnresponsiveVMAreNotRepeated(t *testing.T) {
	const noticedMS, watchedMS, intervalMS = 1500, 1950, 300
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.submitWide("00000000000000aa")
		si.wait(300)
		polls := 0
		si.mu.Lock()
		si.losePoll = func(lr *workpb.LookRequest) bool {
			if lr.GetVm() == "vm-0" {
				polls++
			}
			return lr.GetVm() == "vm-0"
		}
		si.mu.Unlock()
		si.wait(noticedMS)
		si.mu.Lock()
		before := polls
		si.mu.Unlock()
		si.wait(watchedMS)
		si.mu.Lock()
		defer si.mu.Unlock()
		count, most := polls-before, watchedMS/(intervalMS+unansweredPollMS)
		qt.Check(t, count > 0 && count <= most, qt.IsTrue, qt.Commentf("%d polls, at most %d expected", count, most))
	})
}

// Long-running tasks run on while half of the answers to polls are lost, since the polls renew their leases.
func TestLeasesAreRenewedWhileAnswersAreLost(t *testing.T) {
	const tasks, watchedMS = 16, 60_000
	for seed := range 3 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, func(si *simulation) {
				for _, wk := range si.workers {
					wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
				}
				si.start("one")
				si.wait(3000)
				jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
					{Count: tasks, CpuMilli: 1500, MemoryMb: 10, Lasting: true},
				}}
				qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
				si.wait(1000)
				si.loseAnswers(seed, 50, 0)
				si.wait(watchedMS)
				si.mu.Lock()
				defer si.mu.Unlock()
				started := 0
				for _, count := range si.starts {
					started += count
				}
				qt.Check(t, started, qt.Equals, tasks)
			})
		})
	}
}

// A late answer isn't a lost one: polls are held open as before, since more polls would delay the answers further.
func TestLateAnswersDoNotShortenPolls(t *testing.T) {
	const delayMS, watchedMS, maxShort = 100, 1500, 4
	simulate(t, func(si *simulation) {
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
		}
		si.pollDelayMS = delayMS
		si.start("one")
		si.wait(1000)
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 1, CpuMilli: 1500, MemoryMb: 10, Lasting: true},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		short := 0
		si.mu.Lock()
		si.pollDelayMS = 0
		si.losePoll = func(lr *workpb.LookRequest) bool {
			if lr.GetWaitMs() == 0 {
				short++
			}
			return false
		}
		si.mu.Unlock()
		si.wait(watchedMS)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, short <= maxShort, qt.IsTrue, qt.Commentf("%d polls that weren't held open", short))
	})
}

// Guards against an owner that gives up because a VM that has started again refuses what was made for its earlier incarnation: only a refusal of its present token shows that another entry owns scheduling.
func TestRefusalOfAnOutdatedCallKeepsTheOwner(t *testing.T) {
	simulate(t, func(si *simulation) {
		var fenced atomic.Int64
		si.lg.OnEvent(func(name string, _ []any) {
			if name == "vm-fenced" {
				fenced.Add(1)
			}
		})
		// Without a standby pool no machine is moved.
		ix := rulesindex.New(&workpb.Rules{Version: 1, Queues: si.rules().Rules().GetQueues(), Services: []*workpb.Service{{Name: "s"}}})
		si.rules = func() *rulesindex.Index { return ix }
		si.start("one")
		si.wait(3000)
		si.setWork(500)
		si.mu.Lock()
		si.arrivalDelayMS = 160
		si.mu.Unlock()
		for round := range 8 {
			si.submitRow(&workpb.Job{Id: fmt.Sprintf("%015d%x", 0, round), Steps: []*workpb.Step{{Count: 100, CpuMilli: 5, MemoryMb: 1, EstimateMs: 500}}})
			si.wait(330)
			si.restartVMs()
		}
		si.mu.Lock()
		si.arrivalDelayMS = 0
		si.mu.Unlock()
		si.submit(otherJobID, 4)
		si.wait(15_000)
		qt.Check(t, fenced.Load(), qt.Equals, int64(0))
		qt.Check(t, si.state(otherJobID), qt.Equals, workpb.State_COMPLETED)
	})
}

// restartVMs starts a new incarnation of each VM and registers it.
func (si *simulation) restartVMs() {
	si.mu.Lock()
	defer si.mu.Unlock()
	for _, wk := range si.workers {
		wk.Restart()
		si.putVM(wk.VM())
	}
}

// putVM writes a VM's registration.
func (si *simulation) putVM(vm *workpb.VM) {
	raw, err := proto.Marshal(vm)
	qt.Assert(si.t, err, qt.IsNil)
	si.st.Put(registryTable, "", vm.GetId(), raw)
}
