package jobrunner_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// callBytes is what a call holds beside payloads and rows.
	callBytes = 300
	// lookFactor is how much longer the answer to a poll is as JSON.
	lookFactor   = 3
	bytesPerMbit = 125_000
	// lostReadMS is how long a read waits for an answer that is lost.
	lostReadMS = 1200
)

// pacedLink is the link of one entry, which carries one byte after the other; a nil link takes no time.
type pacedLink struct {
	ck        *clock.Clock
	bytesPerS int64

	mu     sync.Mutex
	freeUS int64
	// storeDelayMS is how much longer each call to the store takes; every loseEvery-th read gets no answer, none if it is 0.
	storeDelayMS int64
	loseEvery    int
	reads        int
}

// disturbStore sets how much longer calls to the store take and which reads get no answer.
func (pl *pacedLink) disturbStore(delayMS int64, loseEvery int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.storeDelayMS, pl.loseEvery = delayMS, loseEvery
}

// callStore waits for the bytes and the delay of a call to the store.
func (pl *pacedLink) callStore(ctx context.Context, bytes int64) {
	pl.mu.Lock()
	delayMS := pl.storeDelayMS
	pl.mu.Unlock()
	_ = pl.ck.Sleep(ctx, delayMS)
	pl.transfer(ctx, bytes+callBytes)
}

// losesRead counts a read and reports whether it gets no answer.
func (pl *pacedLink) losesRead() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.reads++
	return pl.loseEvery > 0 && pl.reads%pl.loseEvery == 0
}

func newPacedLink(ck *clock.Clock, mbitPerS int64) *pacedLink {
	return &pacedLink{ck: ck, bytesPerS: mbitPerS * bytesPerMbit}
}

func (pl *pacedLink) rate() int64 {
	if pl == nil {
		return 0
	}
	return pl.bytesPerS
}

// transfer waits until the link has carried the bytes after those of earlier calls, which it also does if the caller gives up.
func (pl *pacedLink) transfer(ctx context.Context, bytes int64) {
	if pl == nil {
		return
	}
	pl.mu.Lock()
	nowMS := pl.ck.Now()
	pl.freeUS = max(pl.freeUS, nowMS*1000) + bytes*1_000_000/pl.bytesPerS
	waitMS := pl.freeUS/1000 - nowMS
	pl.mu.Unlock()
	_ = pl.ck.Sleep(ctx, waitMS)
}

// store returns a store that is called over the link and ends pages like the platform's.
func (pl *pacedLink) store(inner *rowstore.Store) *rowstore.Store {
	if pl == nil {
		return inner
	}
	return &rowstore.Store{
		Limits: inner.Limits,
		Read: func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			pg, err := inner.Read(ctx, table, partition, from, to)
			list, bytes := endPage(pg.Rows())
			pl.callStore(ctx, bytes)
			if pl.losesRead() {
				_ = pl.ck.Sleep(ctx, lostReadMS)
				return rowstore.Page{}, code.TableUnavailable.New("answer lost")
			}
			if ctx.Err() != nil {
				return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
			}
			return rowstore.NewPage(list, len(list) < len(pg.Rows()), pg.Version()), err
		},
		Partitions: inner.Partitions,
		Commit: func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			_, bytes := endPage(tx.Puts())
			pl.callStore(ctx, bytes)
			if ctx.Err() != nil {
				return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
			}
			return inner.Commit(ctx, tx)
		},
		Feed: func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			pg, err := inner.Feed(ctx, table, after, waitMS)
			_, bytes := endPage(pg.Rows())
			pl.callStore(ctx, bytes)
			return pg, err
		},
	}
}

// endPage returns the rows that the platform's store returns at once and the size of the response.
func endPage(list []rowstore.Row) ([]rowstore.Row, int64) {
	bytes := int64(0)
	for at, rw := range list {
		size := int64(base64.StdEncoding.EncodedLen(len(rw.Value())) + rowOverheadBytes)
		if at == pageRows || bytes+size > pageBytes {
			return list[:at], bytes
		}
		bytes += size
	}
	return list, bytes
}

// changes counts the changes of owner by the entries' log.
type changes struct {
	mu                            sync.Mutex
	taken, scheduling, unfinished int
	scheduledMS                   int64
	ck                            *clock.Clock
}

func (ch *changes) follow(name string, _ []any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch name {
	case "ownership-taken":
		ch.taken++
	case "scheduling-started":
		ch.scheduling++
		ch.scheduledMS = ch.ck.Now()
	case "takeover-unfinished":
		ch.unfinished++
	}
}

// reset forgets the changes so far.
func (ch *changes) reset() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.taken, ch.scheduling, ch.unfinished, ch.scheduledMS = 0, 0, 0, 0
}

// watch counts the changes of owner from now on.
func (si *simulation) watch() *changes {
	ch := &changes{ck: si.ck}
	si.lg = event.Discard()
	si.lg.OnEvent(ch.follow)
	return ch
}

// awaitScheduling waits until an owner schedules, for maxMS at most.
func (si *simulation) awaitScheduling(ch *changes, maxMS int64) {
	for beginMS := si.ck.Now(); si.ck.Now() < beginMS+maxMS; si.wait(50) {
		ch.mu.Lock()
		scheduling := ch.scheduling
		ch.mu.Unlock()
		if scheduling > 0 {
			return
		}
	}
	si.t.Errorf("no owner schedules after %d ms", maxMS)
}

// fillOpen stores open jobs, half of them with progress.
func (si *simulation) fillOpen(jobs int) {
	payload := strings.Repeat("x", payloadBytes)
	for at := range jobs {
		id := fmt.Sprintf("%016x", uint64(at+1)*0x9e3779b97f4a7c15)
		si.put(intake.JobsTable, intake.Partition(id), id, &workpb.Job{
			Id: id, Queue: "q", Team: "t", Payload: payload, AcceptedMs: si.ck.Now(),
			Steps: []*workpb.Step{{Count: 6, CpuMilli: 1800, MemoryMb: 400, EstimateMs: 800}, {Count: 6, CpuMilli: 1800, MemoryMb: 400, EstimateMs: 800, After: []int32{0}}},
		})
		if at%2 == 0 {
			si.put(intake.ProgressTable, ownership.Partition, id, &workpb.Progress{Id: id, State: workpb.State_QUEUED})
		}
	}
}

func (si *simulation) put(table, partition, key string, msg proto.Message) {
	raw, err := proto.Marshal(msg)
	qt.Assert(si.t, err, qt.IsNil)
	_, _, err = si.st.Rowstore().Commit(context.Background(), rowstore.NewTx(partition).Put(table, key, raw))
	qt.Assert(si.t, err, qt.IsNil)
}

// startOnLinks starts entries with equal links and returns the count of their changes of owner, once one schedules.
func (si *simulation) startOnLinks(entries int, mbitPerS int64) *changes {
	ch := si.watch()
	for at := range entries {
		si.startOn(fmt.Sprintf("entry-%d", at), newPacedLink(si.ck, mbitPerS), 1)
	}
	si.awaitScheduling(ch, 10_000)
	return ch
}

// A change of owner must end where a restore takes three times the ownership lease and more: within two restores, and the new owner must keep the ownership.
func TestChangeOfOwnerOnSlowLinksEnds(t *testing.T) {
	for _, tc := range []struct {
		entries  int
		mbitPerS int64
		jobs     int
		maxMS    int64
	}{
		{5, 56, 10_000, 12_000},
		{5, 20, 10_000, 30_000},
		{21, 2, 1000, 30_000},
		{5, 2, 4000, 90_000},
	} {
		simulate(t, func(si *simulation) {
			ch := si.startOnLinks(tc.entries, tc.mbitPerS)
			si.fillOpen(tc.jobs)
			ch.reset()
			si.kill(si.owner())
			si.awaitScheduling(ch, tc.maxMS)
			si.wait(3000)
			qt.Check(t, ch.taken <= 2, qt.IsTrue, qt.Commentf("%d Mbit/s, %d jobs: %d takeovers", tc.mbitPerS, tc.jobs, ch.taken))
			qt.Check(t, ch.scheduling, qt.Equals, 1, qt.Commentf("%d Mbit/s, %d jobs", tc.mbitPerS, tc.jobs))
		})
	}
}

// awaitRestored waits until the owner has restored a part of what is stored.
func (si *simulation) awaitRestored(bytes int64) {
	for beginMS := si.ck.Now(); si.ck.Now() < beginMS+20_000; si.wait(50) {
		rw, _, err := si.st.Rowstore().Get(context.Background(), "ownership", ownership.Partition, "owner")
		qt.Assert(si.t, err, qt.IsNil)
		row := &workpb.Ownership{}
		qt.Assert(si.t, proto.Unmarshal(rw.Value(), row), qt.IsNil)
		if row.GetRestoring() && row.GetRestoredBytes() >= bytes {
			return
		}
	}
	si.t.Errorf("no owner has restored %d bytes", bytes)
}

// On slow links, a restore that is disturbed must end, with at most one takeover for each cause and one more.
func TestDisturbedRestoreOnSlowLinksEnds(t *testing.T) {
	const mbitPerS, jobs = 20, 4000
	for _, tc := range []struct {
		name    string
		disturb func(si *simulation)
		// causes is how many changes of owner the disturbance asks for beside the first one.
		causes int
		// unfinished is how many takeovers an entry that lives on counts as ended without scheduling.
		unfinished int
	}{
		{"undisturbed", func(*simulation) {}, 0, 0},
		{"the owner dies", func(si *simulation) { si.kill(si.owner()) }, 1, 0},
		{"the store responds slowly", func(si *simulation) {
			for _, en := range si.entries {
				en.link.disturbStore(400, 0)
			}
		}, 0, 0},
		{"responses are lost", func(si *simulation) {
			dropEveryThirdAnswer(si)
			for _, en := range si.entries {
				en.link.disturbStore(0, 5)
			}
		}, 0, 0},
		{"the store is down", func(si *simulation) {
			si.st.SetDown(true)
			si.wait(7000)
			si.st.SetDown(false)
		}, 0, 0},
		{"the owner is cut off", func(si *simulation) {
			former := si.entries[si.owner()]
			former.setCut(true)
			si.wait(6000)
			former.setCut(false)
		}, 1, 1},
		{"all entries are killed", func(si *simulation) {
			names := slices.Sorted(maps.Keys(si.entries))
			for _, name := range names {
				si.kill(name)
			}
			for _, name := range names {
				si.startOn(name, newPacedLink(si.ck, mbitPerS), 1)
			}
		}, 1, 0},
	} {
		simulate(t, func(si *simulation) {
			ch := si.startOnLinks(4, mbitPerS)
			si.fillOpen(jobs)
			ch.reset()
			si.kill(si.owner())
			si.awaitRestored(100_000)
			tc.disturb(si)
			si.awaitScheduling(ch, 60_000)
			si.wait(3000)
			qt.Check(t, ch.taken <= 2*(tc.causes+1), qt.IsTrue, qt.Commentf("%s: %d takeovers", tc.name, ch.taken))
			qt.Check(t, ch.taken >= tc.causes+1, qt.IsTrue, qt.Commentf("%s: %d takeovers", tc.name, ch.taken))
			qt.Check(t, ch.scheduling, qt.Equals, 1, qt.Commentf("%s", tc.name))
			qt.Check(t, ch.unfinished, qt.Equals, tc.unfinished, qt.Commentf("%s", tc.name))
		})
	}
}

// Entries that start at the same time must not take the ownership from each other while one of them restores.
func TestCandidatesThatStartAtOnceRestoreOnce(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.fillOpen(4000)
		ch := si.watch()
		for at := range 2 {
			si.startOn(fmt.Sprintf("entry-%d", at), newPacedLink(si.ck, 20), 1)
		}
		si.awaitScheduling(ch, 30_000)
		si.wait(3000)
		qt.Check(t, ch.taken, qt.Equals, 1)
		qt.Check(t, ch.unfinished, qt.Equals, 0)
	})
}

// When the zone with the only fast link is cut off, an entry on a slow link must take over once and keep the ownership for the time of the cut. When the zone is back, the fast entry must get the ownership back within seconds, once, in good order, and keep it.
func TestSlowEntryStandsInForACutOffZone(t *testing.T) {
	simulate(t, func(si *simulation) {
		ch := si.watch()
		si.startOn("fast", newPacedLink(si.ck, 200), 10)
		for at := range 3 {
			si.startOn(fmt.Sprintf("slow-%d", at), newPacedLink(si.ck, 10), 2)
		}
		si.awaitScheduling(ch, 5000)
		qt.Assert(t, si.owner(), qt.Equals, "fast")
		si.fillOpen(1500)
		ch.reset()
		si.entries["fast"].setCut(true)
		si.wait(6000)
		si.awaitScheduling(ch, 30_000)
		si.wait(5000)
		qt.Check(t, ch.taken, qt.Equals, 1)
		qt.Check(t, strings.HasPrefix(si.owner(), "slow"), qt.IsTrue, qt.Commentf(si.owner()))
		si.entries["fast"].setCut(false)
		si.wait(6000)
		qt.Check(t, si.owner(), qt.Equals, "fast")
		si.wait(10_000)
		qt.Check(t, si.owner(), qt.Equals, "fast")
		qt.Check(t, ch.taken, qt.Equals, 2)
		qt.Check(t, ch.scheduling, qt.Equals, 2)
		qt.Check(t, ch.unfinished, qt.Equals, 0)
	})
}

// On good links, a lost owner must be replaced within 1.6 s and a stopped one within 0.3 s, both up to the beginning of scheduling.
func TestFailoverOnGoodLinksIsQuick(t *testing.T) {
	const jobs, stepMS = 200, 130
	for at := range 8 {
		for _, tc := range []struct {
			name  string
			lose  func(si *simulation)
			maxMS int64
		}{
			{"lost", func(si *simulation) { si.kill(si.owner()) }, 1600},
			{"stopped", func(si *simulation) {
				en := si.entries[si.owner()]
				delete(si.entries, si.owner())
				en.cancel()
				<-en.ended
			}, 300},
		} {
			simulate(t, func(si *simulation) {
				ch := si.startOnLinks(5, 100)
				si.fillOpen(jobs)
				si.wait(2000 + int64(at)*stepMS)
				ch.reset()
				beginMS := si.ck.Now()
				tc.lose(si)
				si.awaitScheduling(ch, 5000)
				tookMS := ch.scheduledMS - beginMS
				qt.Check(t, tookMS <= tc.maxMS, qt.IsTrue, qt.Commentf("%s: schedules after %d ms", tc.name, tookMS))
			})
		}
	}
}

// An owner whose link doesn't carry everything at once must keep the ownership while it polls all VMs for the first time, reads the ended jobs and starts tasks.
func TestOwnerOnASlowLinkKeepsTheOwnership(t *testing.T) {
	simulate(t, func(si *simulation) {
		for at := range 120 {
			si.addVM(fmt.Sprintf("vm-%x", 0x100+at))
		}
		for at := range 40_000 {
			id := fmt.Sprintf("%016x", uint64(at+1)*0xd1342543de82ef95)
			si.put(intake.EndedTable, intake.Partition(id), id, &workpb.Job{Id: id, Queue: "q", AcceptedMs: si.ck.Now(), Ended: workpb.State_COMPLETED, WorkCoreMs: 17_280})
		}
		ch := si.startOnLinks(5, 2)
		si.fillOpen(300)
		ch.reset()
		si.kill(si.owner())
		si.awaitScheduling(ch, 20_000)
		for at := range 200 {
			jb := &workpb.Job{Id: fmt.Sprintf("%x%015d", at%16, at), Queue: "q", Payload: strings.Repeat("x", payloadBytes), AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{{Count: 4, CpuMilli: 1000, MemoryMb: 10, EstimateMs: 800}}}
			qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
			si.wait(100)
		}
		qt.Check(t, ch.taken <= 2, qt.IsTrue, qt.Commentf("%d takeovers", ch.taken))
		qt.Check(t, ch.scheduling, qt.Equals, 1)
	})
}

// The polls of many busy VMs must leave a slow link to the commits, and still renew the leases of all runs.
func TestPollsOfBusyVMsLeaveRoomForCommits(t *testing.T) {
	const vms, tasksPerVM = 250, 8
	simulate(t, func(si *simulation) {
		for at := range vms {
			si.addVM(fmt.Sprintf("vm-%x", 0x100+at))
		}
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return 120_000, workpb.End_END_DONE }
		}
		ch := si.startOnLinks(5, 2)
		for at := range vms {
			jb := &workpb.Job{Id: fmt.Sprintf("%x%015d", at%16, at), Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{{Count: tasksPerVM, CpuMilli: 1000, MemoryMb: 10, EstimateMs: 120_000}}}
			qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
			si.wait(80)
		}
		ch.reset()
		si.wait(20_000)
		qt.Check(t, ch.taken, qt.Equals, 0)
		si.mu.Lock()
		defer si.mu.Unlock()
		for task, starts := range si.starts {
			qt.Check(t, starts, qt.Equals, 1, qt.Commentf(task))
		}
	})
}
