package ownership_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// fleet is entries on one store, of which the first one owns scheduling.
type fleet struct {
	t       *testing.T
	ck      *clock.Clock
	st      *rowstoretest.Store
	entries []*ownership.Ownership
	// reads and writes count the calls of all entries.
	reads, writes int
	// cut holds the entries that don't reach the store.
	cut map[int]bool
}

func newFleet(t *testing.T, strengths ...int64) *fleet {
	ck := clock.NewFake(100_000)
	fl := &fleet{t: t, ck: ck, st: rowstoretest.New(ck), cut: map[int]bool{}}
	for at, strength := range strengths {
		name := fmt.Sprintf("entry-%d", at)
		fl.entries = append(fl.entries, ownership.New(fl.countingStore(), ck, name, name+".1", strength))
		qt.Assert(t, fl.entries[at].Register(t.Context()), qt.IsNil)
		if at == 0 {
			qt.Assert(t, poll(t, fl.entries[0]), qt.IsTrue)
		}
	}
	return fl
}

func (fl *fleet) countingStore() *rowstore.Store {
	inner := fl.st.Rowstore()
	counting := *inner
	counting.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
		fl.reads++
		return inner.Read(ctx, table, partition, from, to)
	}
	counting.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
		fl.writes++
		return inner.Commit(ctx, tx)
	}
	return &counting
}

// run lets the owner renew its lease and all others that aren't cut poll and ask.
func (fl *fleet) run(forMS int64) {
	for endMS := fl.ck.Now() + forMS; fl.ck.Now() < endMS; fl.ck.Advance(pollMS) {
		qt.Assert(fl.t, fl.entries[0].Commit(fl.t.Context(), put("a")), qt.IsNil)
		for at, ow := range fl.entries[1:] {
			if fl.cut[at+1] {
				continue
			}
			qt.Assert(fl.t, poll(fl.t, ow), qt.IsFalse)
			_ = ow.PollIntervalMS(fl.t.Context())
			_, err := ow.RequestTransfer(fl.t.Context())
			qt.Assert(fl.t, err, qt.IsNil)
		}
	}
}

// asking returns the entry that asks for the ownership, "" if none does.
func (fl *fleet) asking() string {
	rq, _, err := fl.entries[0].ReadTransferRequest(fl.t.Context())
	qt.Assert(fl.t, err, qt.IsNil)
	if rq.GetToken() != fl.entries[0].Token() {
		return ""
	}
	return rq.GetEntry()
}

// Only entries that are stronger than the owner may ask for its ownership, the strongest one that is up in the end.
func TestStrongestEntryThatIsUpAsks(t *testing.T) {
	for _, tc := range []struct {
		name      string
		strengths []int64
		cut       []int
		want      string
	}{
		{"alone", []int64{1}, nil, ""},
		{"all alike", []int64{4, 4, 4}, nil, ""},
		{"weaker ones", []int64{4, 1, 3}, nil, ""},
		{"one is stronger", []int64{4, 4, 9, 1}, nil, "entry-2"},
		{"the strongest one of several", []int64{1, 4, 9, 4}, nil, "entry-2"},
		{"the strongest one is cut off from the store", []int64{1, 4, 9}, []int{2}, "entry-1"},
		{"all stronger ones are cut off", []int64{1, 1, 4, 9}, []int{2, 3}, ""},
	} {
		fl := newFleet(t, tc.strengths...)
		for _, at := range tc.cut {
			fl.cut[at] = true
		}
		fl.run(5000)
		qt.Check(t, fl.asking(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// An entry that asked and is lost must be replaced by another one, and its restarted process must go on in its place.
func TestRequestOfALostEntryIsReplaced(t *testing.T) {
	fl := newFleet(t, 1, 9, 9, 9)
	fl.run(1000)
	asked := fl.asking()
	for at := range fl.entries {
		fl.cut[at] = fmt.Sprintf("entry-%d", at) == asked
	}
	fl.run(1000)
	qt.Check(t, fl.asking(), qt.Equals, asked)
	fl.run(3000)
	qt.Check(t, fl.asking(), qt.Not(qt.Equals), asked)
	qt.Check(t, fl.asking(), qt.Not(qt.Equals), "")

	again := ownership.New(fl.st.Rowstore(), fl.ck, fl.asking(), "again", 9)
	qt.Assert(t, poll(t, again), qt.IsFalse)
	begun, err := again.RequestTransfer(t.Context())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, begun, qt.IsTrue)
	begun, err = again.RequestTransfer(t.Context())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, begun, qt.IsFalse)
}

// Requests must cost about the same for few and for many strong entries: one of them writes, and those that rank behind read less often. The polls of the row aren't counted.
func TestRequestsHardlyGrowWithTheFleet(t *testing.T) {
	calls := func(strong int) (reads, writes int) {
		strengths := []int64{1}
		for range strong {
			strengths = append(strengths, 9)
		}
		fl := newFleet(t, strengths...)
		fl.run(3000)
		fl.reads, fl.writes = 0, 0
		const steps = 10
		for range steps {
			qt.Assert(t, fl.entries[0].Commit(t.Context(), put("a")), qt.IsNil)
			fl.writes--
			for _, ow := range fl.entries[1:] {
				qt.Assert(t, poll(t, ow), qt.IsFalse)
				fl.reads--
				_, err := ow.RequestTransfer(t.Context())
				qt.Assert(t, err, qt.IsNil)
			}
			fl.ck.Advance(1000)
		}
		return fl.reads, fl.writes
	}
	for _, tc := range []struct{ strong, maxReads int }{{1, 10}, {12, 120}, {600, 3 * 120}} {
		reads, writes := calls(tc.strong)
		qt.Check(t, writes, qt.Equals, 10, qt.Commentf("%d strong entries", tc.strong))
		qt.Check(t, reads <= tc.maxReads, qt.IsTrue, qt.Commentf("%d strong entries: %d reads", tc.strong, reads))
	}
}

// An entry that is weaker than the one at whose request the row was released must leave it for longer than that one's poll takes, and must take it if that one doesn't.
func TestWeakerEntriesDeferLongerToTheOneThatAsked(t *testing.T) {
	for _, tc := range []struct {
		name       string
		releasedTo int64
		// wantMS is how long the weak entry leaves the row.
		wantMS int64
	}{
		{"released for another reason", 0, 500},
		{"released to a stronger entry", 2, 1000},
	} {
		pr := newPair()
		qt.Assert(t, pr.one.Register(context.Background()), qt.IsNil)
		qt.Assert(t, pr.two.Register(context.Background()), qt.IsNil)
		qt.Assert(t, poll(t, pr.one), qt.IsTrue)
		qt.Assert(t, pr.one.ReleaseTo(context.Background(), tc.releasedTo), qt.IsNil)
		startMS := pr.ck.Now()
		qt.Assert(t, pr.watch(t, pr.two, 3000), qt.IsTrue, qt.Commentf(tc.name))
		qt.Check(t, pr.ck.Now()-startMS, qt.Equals, tc.wantMS, qt.Commentf(tc.name))
	}
}

// Short terms after transfers must be counted in the row, from owner to owner, until one lasts: the entry that keeps restarting forgets them.
func TestShortTermsAfterTransfersAreCounted(t *testing.T) {
	pr := newPair()
	// transfer releases the row of the weak entry to the strong one, which holds it for some time.
	transfer := func(termMS int64) {
		qt.Assert(t, pr.watch(t, pr.two, 3000), qt.IsTrue)
		qt.Assert(t, pr.two.ReleaseTo(context.Background(), 2), qt.IsNil)
		qt.Assert(t, poll(t, pr.one), qt.IsTrue)
		pr.ck.Advance(termMS)
		qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil)
		qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
	}
	for _, tc := range []struct {
		termMS int64
		want   int32
	}{{500, 1}, {9000, 2}, {100, 3}, {10_000, 0}, {500, 1}} {
		transfer(tc.termMS)
		qt.Assert(t, pr.watch(t, pr.two, 3000), qt.IsTrue)
		qt.Check(t, pr.two.ShortTransfers(), qt.Equals, tc.want, qt.Commentf("after a term of %d ms", tc.termMS))
		qt.Assert(t, pr.two.Release(context.Background()), qt.IsNil)
	}
	// A short term that isn't due to a transfer counts for nothing.
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
	qt.Assert(t, pr.watch(t, pr.two, 3000), qt.IsTrue)
	qt.Check(t, pr.two.ShortTransfers(), qt.Equals, int32(1))
}

// An entry must not ask while the store is slow for it: its restore would be, too.
func TestEntryDoesNotAskWhileItsReadsAreSlow(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.two), qt.IsTrue)
	inner := pr.st.Rowstore()
	slow := *inner
	slow.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
		pr.ck.Advance(300)
		return inner.Read(ctx, table, partition, from, to)
	}
	for _, st := range []*rowstore.Store{&slow, inner} {
		ow := ownership.New(st, pr.ck, "three", "three.1", 9)
		qt.Assert(t, pr.two.Commit(context.Background(), put("a")), qt.IsNil)
		qt.Assert(t, poll(t, ow), qt.IsFalse)
		begun, err := ow.RequestTransfer(context.Background())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, begun, qt.Equals, st == inner)
	}
}

// A request that the store applies late must not name a later ownership, nor replace the request of another entry.
func TestLateRequestMovesNothing(t *testing.T) {
	fl := newFleet(t, 1, 9, 9)
	fl.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Late })
	for _, ow := range fl.entries[1:] {
		qt.Assert(t, poll(t, ow), qt.IsFalse)
		begun, err := ow.RequestTransfer(t.Context())
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, begun, qt.IsFalse)
	}
	fl.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
	qt.Check(t, fl.st.ApplyLate(), qt.Equals, 1)
	qt.Check(t, fl.asking(), qt.Equals, "entry-1")
	qt.Assert(t, fl.entries[0].Release(t.Context()), qt.IsNil)
	for at := 0; at < 4 && !poll(t, fl.entries[0]); at++ {
		fl.ck.Advance(pollMS)
	}
	qt.Assert(t, fl.entries[0].Held(), qt.IsTrue)
	qt.Check(t, fl.asking(), qt.Equals, "")
}

// When all entries lose power while a weak one owns scheduling, that one must leave its row to the stronger ones that start again with it, and take it if none does.
func TestRestartedWeakOwnerLeavesItsRowToStrongerEntries(t *testing.T) {
	const offsetMS = 50
	for _, tc := range []struct {
		name string
		// lateMS is how much later the strong entry starts; registered is set if it is a candidate, up if it runs.
		lateMS         int64
		registered, up bool
		want           string
		maxMS          int64
	}{
		{"both start at once", 0, true, true, "two", 1600},
		{"the strong one starts a little later", 300, true, true, "two", 1900},
		{"the strong one is lost", 0, true, false, "one", 2400},
		{"no stronger one", 0, false, false, "one", 0},
	} {
		ck := clock.NewFake(1000)
		st := rowstoretest.New(ck).Rowstore()
		qt.Assert(t, poll(t, ownership.New(st, ck, "one", "one.1", 1)), qt.IsTrue)
		again := ownership.New(st, ck, "one", "one.2", 1)
		strong := ownership.New(st, ck, "two", "two.2", 9)
		qt.Assert(t, again.Register(t.Context()), qt.IsNil)
		if tc.registered {
			qt.Assert(t, strong.Register(t.Context()), qt.IsNil)
		}
		startMS, owner := ck.Now(), ""
		for elapsedMS := int64(0); owner == "" && elapsedMS < 10_000; elapsedMS += offsetMS {
			if elapsedMS%pollMS == 0 && poll(t, again) {
				owner = "one"
			}
			if tc.up && elapsedMS >= tc.lateMS && (elapsedMS-tc.lateMS)%pollMS == 0 && owner == "" && poll(t, strong) {
				owner = "two"
			}
			if owner == "" {
				ck.Advance(offsetMS)
			}
		}
		qt.Check(t, owner, qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, ck.Now()-startMS <= tc.maxMS, qt.IsTrue, qt.Commentf("%s: after %d ms", tc.name, ck.Now()-startMS))
	}
}

// An owner that hands over to a still stronger entry soon after its own transfer has done nothing wrong: its short term must not delay later transfers.
func TestTransfersFromClassToClassAreNoShortTerms(t *testing.T) {
	ck := clock.NewFake(1000)
	st := rowstoretest.New(ck).Rowstore()
	previous := ownership.New(st, ck, "class-1", "1", 1)
	qt.Assert(t, poll(t, previous), qt.IsTrue)
	for strength := int64(2); strength < 5; strength++ {
		next := ownership.New(st, ck, fmt.Sprintf("class-%d", strength), "1", strength)
		qt.Assert(t, previous.ReleaseTo(t.Context(), strength), qt.IsNil)
		qt.Assert(t, poll(t, next), qt.IsTrue)
		qt.Check(t, next.ShortTransfers(), qt.Equals, int32(0), qt.Commentf("strength %d", strength))
		ck.Advance(500)
		previous = next
	}
}

// One slow read must not end an entry's request: the owner would count its time anew.
func TestRequestGoesOnAfterASlowRead(t *testing.T) {
	fl := newFleet(t, 1, 9)
	inner := fl.st.Rowstore()
	slow := *inner
	var readMS int64
	slow.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
		fl.ck.Advance(readMS)
		return inner.Read(ctx, table, partition, from, to)
	}
	ow := ownership.New(&slow, fl.ck, "slow", "slow.1", 9)
	ask := func() bool {
		qt.Assert(t, fl.entries[0].Commit(t.Context(), put("a")), qt.IsNil)
		qt.Assert(t, poll(t, ow), qt.IsFalse)
		begun, err := ow.RequestTransfer(t.Context())
		qt.Assert(t, err, qt.IsNil)
		fl.ck.Advance(600)
		return begun
	}
	qt.Check(t, ask(), qt.IsTrue)
	readMS = 300
	qt.Check(t, ask(), qt.IsFalse)
	readMS = 0
	qt.Check(t, ask(), qt.IsFalse)
	qt.Check(t, fl.asking(), qt.Equals, "slow")
}
