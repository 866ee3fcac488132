package cluster_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20", "rapid.steps": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func threeZones(t *testing.T) *testCluster {
	cl := newTestCluster("a", "a", "b", "b", "c", "c", "c")
	_, err := cl.withdraw(cl.entries["entry-0"], "", 0, firstText)
	qt.Assert(t, err, qt.IsNil)
	cl.rounds(12, 1000)
	qt.Assert(t, cl.accepted(), qt.Equals, uint64(1))
	for _, name := range cl.names() {
		en := cl.entries[name]
		qt.Assert(t, en.ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s", name))
		qt.Assert(t, en.ag.Members(), qt.HasLen, 7)
		qt.Assert(t, en.ag.Voter().Roster().Message().GetUnsettled(), qt.HasLen, 0)
		_, err := en.ag.Authenticate(bundletest.Secret(1))
		qt.Assert(t, err, qt.IsNil)
	}
	return cl
}

// Guards against a withdrawn key that still works after the withdrawal is reported as accepted, in a zone that is cut off from the table and the other zones and so hears nothing of it.
func TestS1WithdrawalWhileZoneIsCutOff(t *testing.T) {
	cl := threeZones(t)
	cl.isolate("a")
	publisher := cl.entries["entry-6"]
	version, err := cl.withdraw(publisher, cl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code.Of(publisher.ag.CheckAccepted(version)), qt.Equals, code.NotYetInForce)
	cutOff := cl.entries["entry-0"]
	reportedAt := int64(0)
	for range 100 {
		_, err := cutOff.ag.Authenticate(bundletest.Secret(1))
		if publisher.ag.Accepted() >= version {
			reportedAt = max(reportedAt, cl.now)
			qt.Assert(t, code.Of(err), qt.Equals, code.KeyedWorkPaused)
		}
		cl.rounds(1, 100)
	}
	qt.Assert(t, publisher.ag.Accepted(), qt.Equals, version)
	qt.Assert(t, cutOff.ag.Ready(), qt.IsTrue)
	qt.Assert(t, cutOff.ag.Bundle(), qt.IsNotNil)
	cl.heal()
	cl.rounds(5, 1000)
	_, err = cutOff.ag.Authenticate(bundletest.Secret(1))
	qt.Assert(t, code.Of(err), qt.Equals, code.KeyWithdrawn)
	_, err = cutOff.ag.Authenticate(bundletest.Secret(2))
	qt.Assert(t, err, qt.IsNil)
}

// While the table is down, the entries renew their leases by the votes of the others; one dead entry must not stop keyed work at the rest.
func TestS1DeadTableWithDeadEntryKeepsKeyedWork(t *testing.T) {
	cl := threeZones(t)
	cl.tableDown[platform] = true
	cl.entries["entry-3"].paused = true
	for range 60 {
		cl.rounds(1, 1000)
		for _, name := range cl.names() {
			if name != "entry-3" {
				qt.Assert(t, cl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s at %d", name, cl.now))
			}
		}
	}
}

// A publish while the table is down must be refused without effect, and must succeed under the same operation id once the table is back.
func TestS2TableDownRefusesPublishing(t *testing.T) {
	cl := threeZones(t)
	cl.tableDown[platform] = true
	text := bundletest.Withdraw(bundletest.Next(bundletest.Text(1, 1, 2, 1, keys)), 1)
	_, err := cl.entries["entry-0"].ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.NotYetKept)
	cl.rounds(5, 1000)
	qt.Assert(t, cl.accepted(), qt.Equals, uint64(1))
	cl.heal()
	_, err = cl.entries["entry-1"].ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
}

// A publish whose reply from the table was lost must be committed exactly once: a repeat through another entry gets the same version, another operation conflicts.
func TestS3LostReplyToPublishing(t *testing.T) {
	cl := threeZones(t)
	replies := 0
	cl.loseReply = func(string) bool {
		replies++
		return replies == 3
	}
	text := bundletest.Withdraw(bundletest.Next(bundletest.Text(1, 1, 2, 1, keys)), 1)
	op, err := cl.entries["entry-0"].ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replies >= 3, qt.IsTrue, qt.Commentf("%d replies, the third is lost", replies))
	again, err := cl.entries["entry-5"].ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.GetVersion(), qt.Equals, op.GetVersion())
	_, err = cl.entries["entry-5"].ag.Publish(cl.ctx, "op-2", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
}

// An entry that was paused while a withdrawal was accepted must refuse keyed work as soon as it resumes, because its lease has expired.
func TestS5PausedEntryRefusesOnWaking(t *testing.T) {
	cl := threeZones(t)
	en := cl.entries["entry-2"]
	en.paused = true
	version, err := cl.withdraw(cl.entries["entry-0"], cl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	cl.rounds(100, 100)
	qt.Assert(t, cl.accepted(), qt.Equals, version)
	en.paused = false
	_, err = en.ag.Authenticate(bundletest.Secret(1))
	qt.Assert(t, code.Of(err), qt.Equals, code.KeyedWorkPaused)
}

// An entry that boots while the table is down must not take keyed work under an old version from peers that missed the latest one; it may once it reaches a majority.
func TestS6BootWhileTableIsDown(t *testing.T) {
	for _, tc := range []struct {
		name      string
		reachable []string
		keyed     bool
	}{
		{"only older peers in reach", []string{"entry-0", "entry-1"}, false},
		{"a majority in reach", []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cl := threeZones(t)
			cl.isolate("a")
			version, err := cl.withdraw(cl.entries["entry-6"], cl.headText(), 1, "op-1")
			qt.Assert(t, err, qt.IsNil)
			cl.rounds(80, 100)
			qt.Assert(t, cl.accepted(), qt.Equals, version)
			cl.tableDown[platform] = true
			cl.cuts = map[string]bool{}
			en := cl.add("entry-7", "a", perMille)
			for _, name := range cl.names() {
				cl.cut("entry-7", name)
			}
			for _, name := range tc.reachable {
				delete(cl.cuts, "entry-7/"+name)
			}
			for range 30 {
				cl.round(en)
				cl.advance(200)
				if en.ag.AllowsKeyedWork() {
					qt.Assert(t, en.ag.Bundle().Version(), qt.Equals, version)
				}
			}
			qt.Assert(t, en.ag.AllowsKeyedWork(), qt.Equals, tc.keyed)
			qt.Assert(t, en.ag.Ready(), qt.Equals, tc.keyed)
		})
	}
}

// Of two bundles built on the same version, the second must be refused, so that it does not undo the first.
func TestS7TwoOperatorsOverOneBase(t *testing.T) {
	cl := threeZones(t)
	base := cl.headText()
	one, err := cl.withdraw(cl.entries["entry-0"], base, 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	_, err = cl.withdraw(cl.entries["entry-4"], base, 2, "op-2")
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	qt.Assert(t, err, qt.ErrorMatches, fmt.Sprintf("(?s).*version %d replaces version 1, the head is version %d.*", one, one))
}

// A bundle needs sign-offs of its own hash by enough different operators; the leaked key of a removed operator must sign nothing.
func TestS9SignOffsAndLeakedKey(t *testing.T) {
	cl := newTestCluster("a")
	en := cl.entries["entry-0"]
	text := bundletest.Text(1, 2, 2, 1, keys)
	_, err := en.ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.SignOffMissing)
	_, err = en.ag.Publish(cl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	next := bundletest.Next(text)
	_, err = en.ag.Publish(cl.ctx, "op-2", []byte(next), bundletest.Sign(text, 0, 1))
	qt.Assert(t, code.Of(err), qt.Equals, code.SignOffMissing)
	_, err = en.ag.Publish(cl.ctx, "op-2", []byte(next), bundletest.Sign(next, 0, 2))
	qt.Assert(t, code.Of(err), qt.Equals, code.OperatorUnknown)
	without := bundletest.WithoutOperator(next, 1)
	_, err = en.ag.Publish(cl.ctx, "op-3", []byte(without), bundletest.Sign(without, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	leaked := bundletest.Next(without)
	_, err = en.ag.Publish(cl.ctx, "op-4", []byte(leaked), bundletest.Sign(leaked, 1))
	qt.Assert(t, code.Of(err), qt.Equals, code.OperatorUnknown)
}

func TestWithdrawnKeyNeverReturns(t *testing.T) {
	cl := newTestCluster("a")
	en := cl.entries["entry-0"]
	first := bundletest.Text(1, 1, 2, 1, keys)
	withdrawn := bundletest.Withdraw(bundletest.Next(first), 1)
	for i, tc := range []struct {
		name, text string
		want       code.Code
	}{
		{"first", first, code.OK},
		{"key dropped without withdrawal", bundletest.Text(2, 1, 2, 1, keys-1), code.BundleInvalid},
		{"withdrawn", withdrawn, code.OK},
		{"returns", bundletest.Text(3, 1, 2, 1, keys), code.BundleInvalid},
		{"to another team", bundletest.Text(3, 1, 1, 1, keys), code.BundleInvalid},
		{"unchanged", bundletest.Next(withdrawn), code.OK},
	} {
		bd, err := bundle.Parse([]byte(tc.text))
		qt.Assert(t, err, qt.IsNil)
		_, err = en.ag.Publish(cl.ctx, fmt.Sprintf("op-%d", i), []byte(tc.text), bundletest.Sign(tc.text, 0))
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf("%s, version %d: %v", tc.name, bd.Version(), err))
	}
}

// A replaced entry must join the roster under its new incarnation, and the incarnation that ended must leave it.
func TestReplacedEntryIsAnotherIncarnation(t *testing.T) {
	cl := threeZones(t)
	old := cl.entries["entry-5"].mb.GetIncarnation()
	en := cl.replace("entry-5")
	cl.rounds(12, 1000)
	for _, name := range cl.names() {
		rs := cl.entries[name].ag.Voter().Roster()
		qt.Check(t, rs.Has(old), qt.IsFalse)
		qt.Check(t, rs.Has(en.mb.GetIncarnation()), qt.IsTrue)
		qt.Check(t, rs.Message().GetUnsettled(), qt.HasLen, 0, qt.Commentf("%s", name))
	}
	qt.Assert(t, en.ag.AllowsKeyedWork(), qt.IsTrue)
}

// Entries keep a gossip position of each entry that they exchange heartbeats with; those of ended incarnations must be dropped, or each restart of an entry would leave some for good.
func TestPositionsOfEndedEntriesAreDropped(t *testing.T) {
	cl := threeZones(t)
	for range 10 {
		old := cl.entries["entry-5"].mb.GetIncarnation()
		cl.replace("entry-5")
		cl.entries["entry-0"].ag.AnnounceGone(old)
		cl.rounds(12, 1000)
	}
	for _, name := range cl.names() {
		got := cl.entries[name].ag.GossipPositions()
		qt.Check(t, got < len(cl.entries), qt.IsTrue, qt.Commentf("%s keeps %d positions with %d other entries", name, got, len(cl.entries)-1))
	}
}

// A version whose publisher was cut off and died before it pushed the version to any entry must still be accepted, from the table.
func TestPublisherDiesBeforePush(t *testing.T) {
	cl := threeZones(t)
	for _, name := range cl.names() {
		cl.cut("entry-4", name)
	}
	version, err := cl.withdraw(cl.entries["entry-4"], cl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	dead := cl.entries["entry-4"]
	dead.paused = true
	cl.heal()
	cl.rounds(12, 1000)
	qt.Assert(t, cl.accepted(), qt.Equals, version)
	status := cl.entries["entry-0"].ag.Status()
	qt.Assert(t, status.GetAccepted(), qt.Equals, version)
	for _, line := range status.GetEntries() {
		qt.Check(t, line.GetVersion() == version, qt.Equals, line.GetName() != "entry-4", qt.Commentf("%v", line))
	}
}

// After a restart of all entries at once, rosters must settle and a publish must be accepted, although no incarnation of the earlier roster runs any more.
func TestAllProcessesRestart(t *testing.T) {
	cl := threeZones(t)
	for _, name := range cl.names() {
		cl.replace(name)
	}
	cl.rounds(20, 1000)
	version, err := cl.withdraw(cl.entries["entry-3"], cl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	cl.rounds(8, 1000)
	qt.Assert(t, cl.accepted(), qt.Equals, version)
	for _, name := range cl.names() {
		qt.Check(t, cl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s", name))
		qt.Check(t, cl.entries[name].ag.Voter().Roster().Message().GetUnsettled(), qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

// The table fails while the entries that booted first still hold rosters with few members; all of them must learn the full roster from one another and allow keyed work.
func TestTableDiesRightAfterStart(t *testing.T) {
	cl := newTestCluster("a", "a", "b", "b", "c")
	_, err := cl.withdraw(cl.entries["entry-0"], "", 0, firstText)
	qt.Assert(t, err, qt.IsNil)
	for _, name := range cl.names() {
		cl.entries[name].ag.Boot(cl.ctx, nil)
	}
	cl.tableDown[platform] = true
	cl.rounds(20, 500)
	for _, name := range cl.names() {
		qt.Check(t, cl.entries[name].ag.Members(), qt.HasLen, 5)
		qt.Check(t, cl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Older rosters must settle even if some of their members exchange no regular heartbeats with the coordinator, the entry that settles them.
func TestRostersSettleWithoutDirectLinks(t *testing.T) {
	for first := range 12 {
		cl := newTestCluster()
		name := fmt.Sprintf("entry-%d", 20+first)
		_, err := cl.withdraw(cl.add(name, "b", perMille), "", 0, firstText)
		qt.Assert(t, err, qt.IsNil)
		cl.rounds(8, 1000)
		for i, zone := range []string{"a", "a", "b", "c", "c"} {
			cl.add(fmt.Sprintf("entry-%d", i), zone, perMille)
		}
		cl.rounds(20, 1000)
		for _, name := range cl.names() {
			rs := cl.entries[name].ag.Voter().Roster()
			qt.Check(t, rs.Members(), qt.HasLen, 6)
			qt.Check(t, rs.Message().GetUnsettled(), qt.HasLen, 0, qt.Commentf("first %d, %s", first, name))
		}
	}
}

// A bundle that takes long to arrive must be taken all the same: given up after a fixed time, it would never reach an entry on a slow link.
func TestLongBundleIsFetchedOverASlowLink(t *testing.T) {
	cl := threeZones(t)
	cl.tableDown[platform] = true
	en := cl.add("entry-7", "a", perMille)
	cl.fetchParts = 10
	en.ag.FetchFrom(t.Context(), cl.entries["entry-2"].mb)
	qt.Assert(t, en.ag.Bundle(), qt.IsNotNil)
}
