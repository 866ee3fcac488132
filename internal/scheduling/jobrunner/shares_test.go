package jobrunner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// shareEvents holds what the entries told of the teams' shares.
type shareEvents struct {
	mu sync.Mutex
	// gauge is the level of the team "hot" that was reported last.
	gauge  int64
	unread int
	// rows counts the rows of the shares that commits held.
	rows int
	// started counts the owners that began to schedule.
	started int
}

func (ev *shareEvents) follow(name string, _ []any) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	switch name {
	case "shares-unread":
		ev.unread++
	case "scheduling-started":
		ev.started++
	}
}

func (ev *shareEvents) setGauge(val int64, parts ...string) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	if strings.Join(parts, ".") == "share-level.s.hot" {
		ev.gauge = val
	}
}

func (ev *shareEvents) hotLevel() int64 {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.gauge
}

func (ev *shareEvents) owners() int {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.started
}

func (ev *shareEvents) rowStored() {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.rows++
}

func (ev *shareEvents) storedRows() int {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.rows
}

func (ev *shareEvents) unreadRows() int {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.unread
}

// simulateHotTeam runs two entries with three teams of which one asks for far more than the others.
func simulateHotTeam(t *testing.T, run func(si *simulation, ev *shareEvents)) {
	simulate(t, func(si *simulation) {
		ev := &shareEvents{}
		si.lg = event.Discard()
		si.lg.OnEvent(ev.follow)
		si.setGauge = ev.setGauge
		weighted := proto.Clone(rules()().Rules()).(*workpb.Rules)
		for _, team := range []string{"hot", "calm-1", "calm-2"} {
			weighted.Teams = append(weighted.Teams, &workpb.Team{Name: team, Weight: 1})
		}
		ix := rulesindex.New(weighted)
		si.rules = func() *rulesindex.Index { return ix }
		si.start("one")
		si.start("two")
		si.wait(1500)
		run(si, ev)
	})
}

// submitHot submits a second of work: most of it of one team. Jobs that the store doesn't take are left out.
func (si *simulation) submitHot(second int) {
	for at := range 10 {
		team := "hot"
		if at >= 8 {
			team = fmt.Sprintf("calm-%d", at-7)
		}
		jb := &workpb.Job{
			Id: fmt.Sprintf("%x%013d%02d", (second+at)%16, second, at), Queue: "q", Team: team, AcceptedMs: si.ck.Now(),
			Steps: []*workpb.Step{{Count: 2, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800}},
		}
		_ = si.in.Submit(context.Background(), jb)
	}
	si.wait(1000)
}

// storedShares returns the row of the teams' recent use, nil if it is missing or unreadable.
func (si *simulation) storedShares() *workpb.Shares {
	rw, ok, err := si.st.Rowstore().Get(context.Background(), jobrunner.SharesTable, jobrunner.SharesPartition, jobrunner.SharesKey)
	row := &workpb.Shares{}
	if err != nil || !ok || proto.Unmarshal(rw.Value(), row) != nil {
		return nil
	}
	return row
}

// A successor must know the levels from its first planning passes on, and the store must have got at most one row a second.
func TestSharesSurviveAChangeOfOwner(t *testing.T) {
	simulateHotTeam(t, func(si *simulation, ev *shareEvents) {
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			for _, rw := range tx.Puts() {
				if rw.Table() == jobrunner.SharesTable {
					ev.rowStored()
				}
			}
			return rowstoretest.Served
		})
		for second := range 5 {
			si.submitHot(second)
		}
		rows := ev.storedRows()
		qt.Check(t, rows >= 3 && rows <= 6, qt.IsTrue, qt.Commentf("%d rows in 5 s", rows))
		qt.Assert(t, ev.hotLevel() > 0, qt.IsTrue)
		qt.Assert(t, si.storedShares().GetServices(), qt.HasLen, 1)
		si.kill(si.owner())
		qt.Check(t, ev.hotLevel(), qt.Equals, int64(0), qt.Commentf("gauges of an entry that no longer owns scheduling"))
		for range 500 {
			if ev.owners() == 2 {
				break
			}
			si.wait(10)
		}
		// An owner reports the levels with its first commit and then once a second, and levels of its own averages aren't known at the first one.
		si.wait(400)
		qt.Check(t, ev.hotLevel() > 0, qt.IsTrue)
		qt.Check(t, ev.unreadRows(), qt.Equals, 0)
	})
}

// The row of the shares must not delay or prevent a restore, whatever state it is in.
func TestRestoreGoesOnWithoutReadableShares(t *testing.T) {
	for _, each := range []struct {
		name    string
		prepare func(si *simulation)
		unread  int
	}{
		{"missing", func(si *simulation) { si.putShares(nil) }, 0},
		{"unreadable", func(si *simulation) { si.putShares([]byte("\xff\xff not a row")) }, 1},
		{"unanswered", (*simulation).leaveSharesUnanswered, 1},
	} {
		t.Run(each.name, func(t *testing.T) {
			simulateHotTeam(t, func(si *simulation, ev *shareEvents) {
				for second := range 3 {
					si.submitHot(second)
				}
				owner := si.owner()
				// The stopped owner may wait for a commit that it began before, until after its successor has read the row.
				si.entries[owner].setCut(true)
				si.wait(1)
				each.prepare(si)
				si.kill(owner)
				si.wait(4000)
				qt.Assert(t, si.owner(), qt.Not(qt.Equals), owner)
				qt.Check(t, ev.unreadRows(), qt.Equals, each.unread)
				si.wait(15_000)
				for second := range 3 {
					for at := range 10 {
						qt.Check(t, si.state(fmt.Sprintf("%x%013d%02d", (second+at)%16, second, at)), qt.Equals, workpb.State_COMPLETED)
					}
				}
			})
		})
	}
}

// leaveSharesUnanswered lets reads of the shares get no answer.
func (si *simulation) leaveSharesUnanswered() {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.unansweredTable = jobrunner.SharesTable
}

// putShares replaces the row of the shares, or removes it if the value is nil.
func (si *simulation) putShares(value []byte) {
	tx := rowstore.NewTx(ownership.Partition)
	if value == nil {
		tx.Remove(jobrunner.SharesTable, jobrunner.SharesKey)
	} else {
		tx.Put(jobrunner.SharesTable, jobrunner.SharesKey, value)
	}
	_, _, err := si.st.Rowstore().Commit(context.Background(), tx)
	qt.Assert(si.t, err, qt.IsNil)
}

// Shares are stored with commits that must stay repeatable: while the store is down, slow or loses answers nothing may run twice or be lost, and the row is written again afterwards.
func TestSharesUnderFailuresOfTheStore(t *testing.T) {
	for _, each := range []struct {
		name string
		set  func(si *simulation, on bool)
	}{
		{"down", func(si *simulation, on bool) { si.st.SetDown(on) }},
		{"slow", func(si *simulation, on bool) {
			latencyMS := int64(0)
			if on {
				latencyMS = 250
			}
			si.st.SetLatency(latencyMS)
		}},
		{"losing answers", func(si *simulation, on bool) {
			if on {
				dropEveryThirdAnswer(si)
				return
			}
			si.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
		}},
	} {
		t.Run(each.name, func(t *testing.T) {
			simulateHotTeam(t, func(si *simulation, ev *shareEvents) {
				for second := range 3 {
					si.submitHot(second)
				}
				each.set(si, true)
				for second := range 3 {
					si.submitHot(3 + second)
				}
				each.set(si, false)
				for second := range 6 {
					si.submitHot(6 + second)
				}
				qt.Check(t, ev.hotLevel() > 0, qt.IsTrue)
				ageMS := si.ck.Now() - si.storedShares().GetStoredMs()
				qt.Check(t, ageMS < 2500, qt.IsTrue, qt.Commentf("the row is %d ms old", ageMS))
				si.kill(si.owner())
				si.wait(25_000)
				for second := 6; second < 12; second++ {
					for at := range 10 {
						qt.Check(t, si.state(fmt.Sprintf("%x%013d%02d", (second+at)%16, second, at)), qt.Equals, workpb.State_COMPLETED)
					}
				}
			})
		})
	}
}
