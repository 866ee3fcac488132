package ownership_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// pollMS is the poll interval of close watchers, relaxedPollMS that of the others.
const (
	pollMS        = 250
	relaxedPollMS = 800
)

// pair is two competing entries on one store.
type pair struct {
	ck  *clock.Clock
	st  *rowstoretest.Store
	one *ownership.Ownership
	two *ownership.Ownership
}

func newPair() *pair {
	ck := clock.NewFake(1000)
	st := rowstoretest.New(ck)
	return &pair{ck, st, ownership.New(st.Rowstore(), ck, "one", "one.1", 2), ownership.New(st.Rowstore(), ck, "two", "two.1", 1)}
}

func poll(t *testing.T, ow *ownership.Ownership) bool {
	owned, err := ow.Poll(context.Background())
	qt.Assert(t, err, qt.IsNil)
	return owned
}

// watch polls for some time and reports whether the entry became the owner.
func (pr *pair) watch(t *testing.T, ow *ownership.Ownership, forMS int64) bool {
	for end := pr.ck.Now() + forMS; pr.ck.Now() < end; pr.ck.Advance(pollMS) {
		if poll(t, ow) {
			return true
		}
	}
	return false
}

func put(key string) func(*rowstore.Tx) {
	return func(tx *rowstore.Tx) { tx.Put("t", key, []byte("x")) }
}

// A successor must not take over before the owner's lease has certainly expired; a later commit of the former owner must be refused.
func TestSuccessorWaitsForLeaseExpiry(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	for range 10 {
		pr.ck.Advance(500)
		qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil)
		qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	}
	qt.Assert(t, pr.watch(t, pr.two, ownership.LeaseMS), qt.IsFalse)
	qt.Assert(t, pr.one.Held(), qt.IsFalse)
	qt.Assert(t, pr.watch(t, pr.two, 900), qt.IsTrue)
	qt.Assert(t, pr.two.Token() > pr.one.Token(), qt.IsTrue, qt.Commentf("token %d after %d", pr.two.Token(), pr.one.Token()))
	err := pr.one.Commit(context.Background(), put("b"))
	qt.Assert(t, code.Of(err), qt.Equals, code.LeaseLapsed)
	qt.Assert(t, pr.st.Keys("t"), qt.Equals, "a")
}

// A watcher that did not poll for a while can't know whether the owner renewed meanwhile, so that time must not count towards the expiry of the lease.
func TestSuccessorCountsOnlyWatchedTime(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	pr.ck.Advance(9000)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil)
	qt.Assert(t, pr.one.Held(), qt.IsTrue)
}

func TestReleaseAndRestartAllowImmediateTakeover(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	again := ownership.New(pr.st.Rowstore(), pr.ck, "one", "one.2", 2)
	qt.Assert(t, poll(t, again), qt.IsTrue)
	qt.Assert(t, again.Token() > pr.one.Token(), qt.IsTrue, qt.Commentf("token %d after %d", again.Token(), pr.one.Token()))
	qt.Assert(t, again.Release(context.Background()), qt.IsNil)
	qt.Assert(t, again.Held(), qt.IsFalse)
	qt.Assert(t, poll(t, pr.two), qt.IsTrue)
}

// A repeated commit must take effect exactly once, whether the first one was applied without an answer, is still to be applied or was refused.
func TestCommitsWithoutAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome rowstoretest.Outcome
	}{
		{"applied, answer lost", rowstoretest.AnswerLost},
		{"applied late", rowstoretest.Late},
		{"refused", rowstoretest.Refused},
	} {
		pr := newPair()
		qt.Assert(t, poll(t, pr.one), qt.IsTrue)
		pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return tc.outcome })
		qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNotNil, qt.Commentf(tc.name))
		pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
		qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil, qt.Commentf(tc.name))
		qt.Assert(t, pr.st.ApplyLate(), qt.Equals, 0, qt.Commentf(tc.name))
		qt.Assert(t, pr.one.Commit(context.Background(), put("b")), qt.IsNil, qt.Commentf(tc.name))
		qt.Assert(t, pr.st.Keys("t"), qt.Equals, "a b", qt.Commentf(tc.name))
	}
}

// An entry with less strength must not take a free ownership at once while a stronger candidate is registered, but must take it soon if that one doesn't.
func TestWeakerEntriesDeferToStrongerOnes(t *testing.T) {
	pr := newPair()
	qt.Assert(t, pr.one.Register(context.Background()), qt.IsNil)
	qt.Assert(t, pr.two.Register(context.Background()), qt.IsNil)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	pr.ck.Advance(pollMS)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	qt.Assert(t, pr.watch(t, pr.two, 900), qt.IsTrue)
}

// Review case 11: in a series of restarts a weak entry took the ownership over at once from a strong one. It had begun to defer when an earlier owner released the row, and counted that time for the next release, since it hadn't seen the row owned in between.
func TestDeferralBeginsAnewWithEachRelease(t *testing.T) {
	pr := newPair()
	qt.Assert(t, pr.one.Register(context.Background()), qt.IsNil)
	qt.Assert(t, pr.two.Register(context.Background()), qt.IsNil)
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	for range 3 {
		qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
		qt.Assert(t, poll(t, pr.two), qt.IsFalse)
		qt.Assert(t, poll(t, pr.one), qt.IsTrue)
		pr.ck.Advance(relaxedPollMS)
	}
	qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	qt.Assert(t, pr.watch(t, pr.two, 900), qt.IsTrue)
}

// A commit that the store accepted without answering must not wait for its whole timeout once the store answers again.
func TestCommitSurvivesAnUnresponsiveStore(t *testing.T) {
	const recoveryMS = 400
	for outageMS := int64(300); outageMS <= 5000; outageMS += 190 {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			st := rowstoretest.New(ck)
			ow := ownership.New(st.Rowstore(), ck, "one", "one.1", 2)
			qt.Assert(t, poll(t, ow), qt.IsTrue)
			st.SetUnresponsive(true)
			time.AfterFunc(time.Duration(outageMS)*time.Millisecond, func() { st.SetUnresponsive(false) })
			startMS := ck.Now()
			for ow.Commit(t.Context(), put("a")) != nil {
				qt.Assert(t, ck.Now()-startMS <= outageMS+recoveryMS, qt.IsTrue, qt.Commentf("outage of %d ms: not committed after %d ms", outageMS, ck.Now()-startMS))
			}
			qt.Check(t, ck.Now()-startMS <= outageMS+recoveryMS, qt.IsTrue, qt.Commentf("outage of %d ms: committed after %d ms", outageMS, ck.Now()-startMS))
			qt.Check(t, st.Keys("t"), qt.Equals, "a")
		})
	}
}

// The lease must count from the first attempt of a commit whose answer was lost, because that attempt may be the one that renewed it.
func TestLeaseCountsFromFirstAttempt(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.AnswerLost })
	qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNotNil)
	pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
	pr.ck.Advance(ownership.LeaseMS)
	qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil)
	qt.Assert(t, pr.one.Held(), qt.IsFalse)
	qt.Assert(t, pr.one.Commit(context.Background(), put("b")), qt.IsNil)
	qt.Assert(t, pr.one.Held(), qt.IsTrue)
}

// Twelve entries poll at their own intervals when the owner and all other close watchers are lost at once: an entry that polls at relaxed intervals must still take over.
func TestRelaxedWatcherTakesOverWhenCloseWatchersAreLost(t *testing.T) {
	for _, lostMS := range []int64{12_000, 12_130, 12_390, 12_770, 13_000} {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			st := rowstoretest.New(ck)
			startMS := ck.Now()
			var entries []*ownership.Ownership
			for at := range 12 {
				entries = append(entries, ownership.New(st.Rowstore(), ck, fmt.Sprintf("entry-%d", at), "1", 1))
				qt.Assert(t, entries[at].Register(t.Context()), qt.IsNil)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var polls, takenMS atomic.Int64
			lost := map[*ownership.Ownership]bool{}
			qt.Assert(t, poll(t, entries[0]), qt.IsTrue)
			for _, ow := range entries[1:] {
				if ow.PollIntervalMS(ctx) == pollMS {
					poll(t, ow)
					lost[ow] = ow.PollIntervalMS(ctx) == pollMS
				}
			}
			live := func(ow *ownership.Ownership) bool { return ck.Now() < startMS+lostMS || !lost[ow] }
			go func() {
				for ck.Now() < startMS+lostMS {
					qt.Check(t, entries[0].Commit(ctx, put("a")), qt.IsNil)
					_ = ck.Sleep(ctx, 300)
				}
			}()
			for _, ow := range entries[1:] {
				go func() {
					for live(ow) && ctx.Err() == nil && takenMS.Load() == 0 {
						polls.Add(1)
						if owned, err := ow.Poll(ctx); err == nil && owned {
							takenMS.Store(ck.Now())
						}
						_ = ck.Sleep(ctx, ow.PollIntervalMS(ctx))
					}
				}()
			}
			time.Sleep(time.Duration(lostMS) * time.Millisecond)
			qt.Check(t, polls.Load() < 12*lostMS/pollMS*2/3, qt.IsTrue, qt.Commentf("%d polls", polls.Load()))
			time.Sleep(2500 * time.Millisecond)
			tookMS := takenMS.Load() - startMS - lostMS
			qt.Check(t, tookMS > 0 && tookMS < 2500, qt.IsTrue, qt.Commentf("owner lost at %d ms, taken over after %d ms", lostMS, tookMS))
		})
	}
}

// Each commit's first answer is lost, on a connection that delivers nothing further.
func TestLostAnswersInARowDoNotCostTheOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		st := rowstoretest.New(ck).Rowstore()
		lossy := *st
		var lose atomic.Bool
		lossy.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			version, current, err := st.Commit(ctx, tx)
			if !lose.CompareAndSwap(true, false) {
				return version, current, err
			}
			<-ctx.Done()
			return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
		}
		ow := ownership.New(&lossy, ck, "one", "one.1", 2)
		qt.Assert(t, poll(t, ow), qt.IsTrue)
		for range 4 {
			lose.Store(true)
			startMS := ck.Now()
			qt.Assert(t, ow.Commit(t.Context(), put("a")), qt.IsNil)
			qt.Assert(t, ck.Now()-startMS < ownership.LeaseMS/2, qt.IsTrue, qt.Commentf("committed after %d ms", ck.Now()-startMS))
			qt.Assert(t, ow.Held(), qt.IsTrue)
		}
	})
}

// A restoring owner must keep the row for longer than others while it reads, every entry must see how far it is, and it must be replaced once it is lost.
func TestRestoringOwnerKeepsTheRowWhileItProgresses(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, poll(t, pr.two), qt.IsFalse)
	for at := range int64(5) {
		pr.one.ReportRestore(1000 * at)
		qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNil)
		qt.Assert(t, poll(t, pr.two), qt.IsFalse)
		pr.ck.Advance(pollMS)
	}
	entry, forMS, bytes := pr.two.Restoring()
	qt.Check(t, entry, qt.Equals, "one")
	qt.Check(t, forMS, qt.Equals, int64(5*pollMS))
	qt.Check(t, bytes, qt.Equals, int64(4000))
	qt.Check(t, pr.watch(t, pr.two, 1800), qt.IsFalse)
	qt.Check(t, pr.watch(t, pr.two, 900), qt.IsTrue)
	entry, _, bytes = pr.one.Restoring()
	qt.Check(t, entry, qt.Equals, "one")
	qt.Check(t, bytes, qt.Equals, int64(4000))
	qt.Check(t, code.Of(pr.one.Commit(context.Background(), put("b"))), qt.Equals, code.LeaseLapsed)
	entry, _, _ = pr.one.Restoring()
	qt.Check(t, entry, qt.Equals, "")
	pr.two.EndRestore()
	qt.Assert(t, pr.two.Commit(context.Background(), put("b")), qt.IsNil)
	qt.Assert(t, poll(t, pr.one), qt.IsFalse)
	entry, _, _ = pr.one.Restoring()
	qt.Check(t, entry, qt.Equals, "")
}

// An entry whose takeover ended without scheduling must leave the row to another one, even a free row, and take it again when its wait is over.
func TestFailedEntryLeavesTheRowToOthers(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, pr.one.Release(context.Background()), qt.IsNil)
	failures, waitMS := pr.one.RecordLostTerm(0)
	qt.Check(t, failures, qt.Equals, 1)
	qt.Check(t, waitMS >= 1500 && waitMS <= 2000, qt.IsTrue, qt.Commentf("waits %d ms", waitMS))
	qt.Check(t, pr.watch(t, pr.one, 1500), qt.IsFalse)
	qt.Check(t, poll(t, pr.two), qt.IsTrue)
	qt.Assert(t, pr.two.Release(context.Background()), qt.IsNil)
	qt.Check(t, pr.watch(t, pr.one, 750), qt.IsTrue)
}

// A long commit on a slow link must not be sent again while the link still carries its first copy; a short one must be repeated as soon as on any link.
func TestLongCommitsAreNotRepeatedOnASlowLink(t *testing.T) {
	for _, tc := range []struct {
		name      string
		bytesPerS int64
		bytes     int
		want      int32
	}{
		{"long, 2 Mbit/s", 250_000, 90_000, 1},
		{"short, 2 Mbit/s", 250_000, 500, 2},
		{"long, 200 Mbit/s", 25_000_000, 90_000, 2},
		{"long, unknown link", 0, 90_000, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			st := rowstoretest.New(ck).Rowstore()
			slow := *st
			var copies atomic.Int32
			slow.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
				copies.Add(1)
				_ = ck.Sleep(ctx, 490)
				return st.Commit(ctx, tx)
			}
			ow := ownership.New(&slow, ck, "one", "one.1", 2).WithLink(tc.bytesPerS)
			qt.Assert(t, poll(t, ow), qt.IsTrue)
			copies.Store(0)
			qt.Assert(t, ow.Commit(t.Context(), func(tx *rowstore.Tx) { tx.Put("t", "a", make([]byte, tc.bytes)) }), qt.IsNil)
			qt.Check(t, copies.Load(), qt.Equals, tc.want, qt.Commentf(tc.name))
		})
	}
}

// putRow writes a row past the entries.
func (pr *pair) putRow(t *testing.T, partition, table, key string, value []byte) {
	_, _, err := pr.st.Rowstore().Commit(context.Background(), rowstore.NewTx(partition).Put(table, key, value))
	qt.Assert(t, err, qt.IsNil)
}

// One unreadable row must not keep every entry from scheduling for good, nor let two schedule at once.
func TestUnreadableRowsDoNotPreventATakeover(t *testing.T) {
	for _, tc := range []struct{ name, partition, table, key string }{
		{"candidate", "candidates", "candidates", "odd"},
		{"ownership", ownership.Partition, "ownership", "owner"},
	} {
		pr := newPair()
		pr.putRow(t, tc.partition, tc.table, tc.key, []byte{0xff})
		qt.Check(t, pr.watch(t, pr.one, 5000), qt.IsTrue, qt.Commentf(tc.name))
		qt.Check(t, poll(t, pr.two), qt.IsFalse, qt.Commentf(tc.name))
	}
}

// An owner whose row is overwritten by something unreadable must give up, since it can't renew the row, and its successor must wait for the lease.
func TestOwnerOfAnOverwrittenRowGivesUp(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	pr.putRow(t, ownership.Partition, "ownership", "owner", []byte{0xff})
	qt.Check(t, poll(t, pr.two), qt.IsFalse)
	qt.Check(t, code.Of(pr.one.Commit(context.Background(), put("a"))), qt.Equals, code.LeaseLapsed)
	qt.Check(t, pr.one.Held(), qt.IsFalse)
	qt.Check(t, pr.watch(t, pr.two, ownership.LeaseMS), qt.IsFalse)
	qt.Check(t, pr.watch(t, pr.two, 2000), qt.IsTrue)
}

// A process that lost the ownership with a commit in doubt and wins it again must hold its lease from its own commits on, instead of counting it from that old one, which stops starts and renewals.
func TestLeaseOfANewOwnershipDoesNotCountFromAnEarlierOne(t *testing.T) {
	pr := newPair()
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Refused })
	qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNotNil)
	pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.AnswerLost })
	qt.Assert(t, pr.one.Commit(context.Background(), put("a")), qt.IsNotNil)
	pr.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
	qt.Assert(t, pr.watch(t, pr.two, 4000), qt.IsTrue)
	qt.Assert(t, code.Of(pr.one.Commit(context.Background(), put("a"))), qt.Equals, code.LeaseLapsed)
	qt.Assert(t, pr.two.Release(context.Background()), qt.IsNil)
	qt.Assert(t, poll(t, pr.one), qt.IsTrue)
	qt.Assert(t, pr.one.Commit(context.Background(), put("b")), qt.IsNil)
	qt.Check(t, pr.one.Held(), qt.IsTrue)
}

// All entries of the strongest class must poll more often than weaker ones defer to them, or a weaker one takes over while the four that rank first are stopping. Where all entries are alike, four that poll often are enough.
func TestStrongEntriesPollMoreOftenThanWeakerOnesDefer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		strong, weak int
		// wantStrong and wantWeak are how many entries of each class poll at short intervals.
		wantStrong, wantWeak int
	}{
		{"all alike", 8, 0, 4, 0},
		{"few strong ones", 2, 8, 2, 2},
		{"six strong ones", 6, 8, 6, 0},
		{"many strong ones", 20, 8, 12, 0},
	} {
		ck := clock.NewFake(1000)
		st := rowstoretest.New(ck)
		classes := map[int64][]*ownership.Ownership{}
		register := func(count int, strength int64) {
			for at := range count {
				name := fmt.Sprintf("%d-%d", strength, at)
				ow := ownership.New(st.Rowstore(), ck, name, name+".1", strength)
				qt.Assert(t, ow.Register(t.Context()), qt.IsNil)
				classes[strength] = append(classes[strength], ow)
			}
		}
		register(tc.strong, 9)
		register(tc.weak, 2)
		watching := func(strength int64) (count int) {
			for _, ow := range classes[strength] {
				_ = poll(t, ow)
				if ow.PollIntervalMS(t.Context()) == pollMS {
					count++
				}
			}
			return count
		}
		owner := ownership.New(st.Rowstore(), ck, "owner", "owner.1", 9)
		qt.Assert(t, poll(t, owner), qt.IsTrue)
		qt.Check(t, watching(9), qt.Equals, tc.wantStrong, qt.Commentf(tc.name))
		qt.Check(t, watching(2), qt.Equals, tc.wantWeak, qt.Commentf(tc.name))
	}
}
