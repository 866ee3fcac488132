package bulkread_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/store/bulkread"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	table, partition = "t", "p"
	valueBytes       = 1000
	// linkBytesPerS is the rate of 2 Mbit/s, pageBytes what it carries in 100 ms.
	linkBytesPerS = 250_000
	pageBytes     = 25_000
)

// fixture is a store whose reads are recorded.
type fixture struct {
	ck *clock.Clock
	st *rowstore.Store

	mu sync.Mutex
	// pages holds the number of rows that each read returned, failed ones as -1.
	pages []int
	// fails reports whether the read with the given number fails.
	fails func(read int) bool
}

func newFixture(t *testing.T, keys []string) *fixture {
	fx := &fixture{ck: clock.New(), fails: func(int) bool { return false }}
	inner := rowstoretest.New(fx.ck).Rowstore()
	for _, key := range keys {
		_, _, err := inner.Commit(t.Context(), rowstore.NewTx(partition).Put(table, key, make([]byte, valueBytes)))
		qt.Assert(t, err, qt.IsNil)
	}
	outer := *inner
	outer.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
		pg, err := inner.Read(ctx, table, partition, from, to)
		fx.mu.Lock()
		defer fx.mu.Unlock()
		if fx.fails(len(fx.pages)) {
			fx.pages = append(fx.pages, -1)
			return rowstore.Page{}, code.TableUnavailable.New("answer lost")
		}
		fx.pages = append(fx.pages, len(pg.Rows()))
		return pg, err
	}
	fx.st = &outer
	return fx
}

// hexKeys returns keys that are spread evenly.
func hexKeys(prefix string, count int) []string {
	var out []string
	for at := range count {
		out = append(out, fmt.Sprintf("%s%016x", prefix, uint64(at+1)*0x9e3779b97f4a7c15))
	}
	return out
}

// checkRows fails the test unless the rows are those with the keys, once each.
func checkRows(t *testing.T, list []rowstore.Row, keys []string, name string) {
	seen := map[string]bool{}
	for _, rw := range list {
		seen[rw.Key()] = true
	}
	qt.Check(t, len(list), qt.Equals, len(keys), qt.Commentf(name))
	for _, key := range keys {
		qt.Check(t, seen[key], qt.IsTrue, qt.Commentf("%s: key %s", name, key))
	}
}

// Each row must be read once, whatever the keys look like.
func TestAllKeysAreRead(t *testing.T) {
	for _, tc := range []struct {
		name, prefix string
		keys         []string
	}{
		{"none", "", nil},
		{"even", "", hexKeys("", 300)},
		{"even with prefix", "i-", hexKeys("i-", 300)},
		{"beside the prefix", "i-", append([]string{"", "a", "i", "i-", "i-zz", "j-1", "z"}, hexKeys("i-", 50)...)},
		{"capitals and marks", "", []string{"0A.cancel", "0A", "FF", "ff.cancel", "ffffffffffffffff", "g", "0", "00000000000000000000"}},
		{"close together", "", []string{"0000000000001", "00000000000010000", "0000000000002", "8000000000000", "80000000000000000", "7fffffffffffff"}},
	} {
		for _, rate := range []int64{0, linkBytesPerS, 25_000_000} {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, tc.keys)
				list, _, err := bulkread.New(fx.st, fx.ck, rate).ReadAll(t.Context(), table, partition, tc.prefix)
				qt.Assert(t, err, qt.IsNil)
				checkRows(t, list, tc.keys, tc.name)
			})
		}
	}
}

// On a slow link no page may take the link for much longer than 100 ms, and all of them together may use half of it.
func TestPagesFollowTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := hexKeys("", 1000)
		fx := newFixture(t, keys)
		rd := bulkread.New(fx.st, fx.ck, linkBytesPerS)
		beginMS := fx.ck.Now()
		list, _, err := rd.ReadAll(t.Context(), table, partition, "")
		qt.Assert(t, err, qt.IsNil)
		checkRows(t, list, keys, "")
		rowSize := rd.Bytes() / int64(len(keys))
		for _, rows := range fx.pages[1:] {
			qt.Check(t, int64(rows)*rowSize < pageBytes*3/2, qt.IsTrue, qt.Commentf("a page of %d rows", rows))
		}
		tookMS, halfMS := fx.ck.Now()-beginMS, rd.Bytes()*2*1000/linkBytesPerS
		qt.Check(t, tookMS > halfMS*9/10 && tookMS < halfMS*11/10, qt.IsTrue, qt.Commentf("took %d ms, %d ms at half of the link", tookMS, halfMS))
	})
}

// On a good link a partition must be read at once, as without limits.
func TestGoodLinkReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, hexKeys("", 300))
		beginMS := fx.ck.Now()
		_, _, err := bulkread.New(fx.st, fx.ck, 25_000_000).ReadAll(t.Context(), table, partition, "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, fx.pages, qt.DeepEquals, []int{300})
		qt.Check(t, fx.ck.Now(), qt.Equals, beginMS)
	})
}

// A page that failed must be read again without the pages before it.
func TestFailedPageIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := hexKeys("", 300)
		fx := newFixture(t, keys)
		fx.fails = func(read int) bool { return read%3 == 1 }
		failures := 0
		rd := bulkread.New(fx.st, fx.ck, linkBytesPerS)
		rd.OnFailure = func(error) { failures++ }
		list, _, err := rd.ReadAll(t.Context(), table, partition, "")
		qt.Assert(t, err, qt.IsNil)
		checkRows(t, list, keys, "")
		rows := 0
		for _, count := range fx.pages {
			rows += max(count, 0)
		}
		qt.Check(t, rows, qt.Equals, len(keys))
		qt.Check(t, failures > 3, qt.IsTrue, qt.Commentf("%d failures", failures))
	})
}

// A read must outlast an outage of the store, but end when nothing can be read any more.
func TestReadEndsWhenAllPagesFail(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outageMS int64
		fails    bool
	}{
		{"store down", 7000, false},
		{"reads never succeed", 60_000, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, hexKeys("", 300))
			upMS := fx.ck.Now() + tc.outageMS
			fx.fails = func(int) bool { return fx.ck.Now() < upMS }
			_, _, err := bulkread.New(fx.st, fx.ck, linkBytesPerS).ReadAll(t.Context(), table, partition, "")
			qt.Check(t, err != nil, qt.Equals, tc.fails, qt.Commentf(tc.name))
		})
	}
}

// A page must wait for a commit that is under way, but not for a store that always has one.
func TestPagesWaitForCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, hexKeys("", 100))
		rd := bulkread.New(fx.st, fx.ck, linkBytesPerS)
		startMS := fx.ck.Now()
		rd.Busy = func() bool { return fx.ck.Now() < startMS+300 }
		fx.fails = func(int) bool {
			qt.Check(t, fx.ck.Now() >= startMS+300, qt.IsTrue)
			return false
		}
		_, _, err := rd.ReadAll(t.Context(), table, partition, "")
		qt.Assert(t, err, qt.IsNil)
		fx.fails = func(int) bool { return false }
		rd.Busy = func() bool { return true }
		_, _, err = rd.ReadAll(t.Context(), table, partition, "")
		qt.Assert(t, err, qt.IsNil)
	})
}

// On a link that is slower than its settings say, pages must not pile up: together they may hold one page.
func TestPagesDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, hexKeys("", 400))
		inner := fx.st.Read
		var inFlight, most atomic.Int64
		fx.st.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			pg, err := inner(ctx, table, partition, from, to)
			bytes := int64(len(pg.Rows()) * valueBytes)
			most.Store(max(most.Load(), inFlight.Add(bytes)))
			_ = fx.ck.Sleep(ctx, 1000)
			inFlight.Add(-bytes)
			return pg, err
		}
		rd := bulkread.New(fx.st, fx.ck, linkBytesPerS)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				_, _, err := rd.ReadAll(t.Context(), table, partition, "")
				qt.Check(t, err, qt.IsNil)
			})
		}
		wg.Wait()
		qt.Check(t, most.Load() < 2*pageBytes, qt.IsTrue, qt.Commentf("%d bytes under way", most.Load()))
	})
}

// Guards against a read that never ends: a store that answers each page with the same rows and says that more follow.
func TestRowsThatDoNotAdvanceEndTheRead(t *testing.T) {
	reads := 0
	st := &rowstore.Store{Read: func(context.Context, string, string, string, string) (rowstore.Page, error) {
		reads++
		if reads > 100 {
			t.Fatal("the same page was read 100 times")
		}
		return rowstore.NewPage([]rowstore.Row{rowstore.NewRow(table, partition, "a", nil, 1)}, true, 1), nil
	}}
	_, _, err := bulkread.New(st, clock.New(), 0).ReadAll(t.Context(), table, partition, "")
	qt.Check(t, code.Of(err), qt.Equals, code.TableUnavailable)
}
