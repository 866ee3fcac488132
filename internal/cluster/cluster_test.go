package cluster_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/bundletest"
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

func threeZones(t *testing.T) *fleet {
	fl := newFleet("a", "a", "b", "b", "c", "c", "c")
	_, err := fl.withdraw(fl.entries["entry-0"], "", 0, firstText)
	qt.Assert(t, err, qt.IsNil)
	fl.rounds(12, 1000)
	qt.Assert(t, fl.accepted(), qt.Equals, uint64(1))
	for _, name := range fl.names() {
		en := fl.entries[name]
		qt.Assert(t, en.ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s", name))
		qt.Assert(t, en.ag.Members(), qt.HasLen, 7)
		qt.Assert(t, en.ag.Voter().Roster().Message().GetUnsettled(), qt.HasLen, 0)
		_, err := en.ag.Authenticate(bundletest.Secret(1))
		qt.Assert(t, err, qt.IsNil)
	}
	return fl
}

func TestS1WithdrawalWhileZoneIsCutOff(t *testing.T) {
	fl := threeZones(t)
	fl.isolate("a")
	publisher := fl.entries["entry-6"]
	version, err := fl.withdraw(publisher, fl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code.Of(publisher.ag.CheckAccepted(version)), qt.Equals, code.NotYetInForce)
	cutOff := fl.entries["entry-0"]
	reportedAt := int64(0)
	for range 100 {
		_, err := cutOff.ag.Authenticate(bundletest.Secret(1))
		if publisher.ag.Accepted() >= version {
			reportedAt = max(reportedAt, fl.now)
			qt.Assert(t, code.Of(err), qt.Equals, code.KeyedWorkPaused)
		}
		fl.rounds(1, 100)
	}
	qt.Assert(t, publisher.ag.Accepted(), qt.Equals, version)
	qt.Assert(t, cutOff.ag.Ready(), qt.IsTrue)
	qt.Assert(t, cutOff.ag.Bundle(), qt.IsNotNil)
	fl.heal()
	fl.rounds(5, 1000)
	_, err = cutOff.ag.Authenticate(bundletest.Secret(1))
	qt.Assert(t, code.Of(err), qt.Equals, code.KeyWithdrawn)
	_, err = cutOff.ag.Authenticate(bundletest.Secret(2))
	qt.Assert(t, err, qt.IsNil)
}

func TestS1DeadTableWithDeadEntryKeepsKeyedWork(t *testing.T) {
	fl := threeZones(t)
	fl.tableDown[platform] = true
	fl.entries["entry-3"].paused = true
	for range 60 {
		fl.rounds(1, 1000)
		for _, name := range fl.names() {
			if name != "entry-3" {
				qt.Assert(t, fl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s at %d", name, fl.now))
			}
		}
	}
}

func TestS2TableDownRefusesPublishing(t *testing.T) {
	fl := threeZones(t)
	fl.tableDown[platform] = true
	text := bundletest.Withdraw(bundletest.Next(bundletest.Text(1, 1, 2, 1, keys)), 1)
	_, err := fl.entries["entry-0"].ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.NotYetKept)
	fl.rounds(5, 1000)
	qt.Assert(t, fl.accepted(), qt.Equals, uint64(1))
	fl.heal()
	_, err = fl.entries["entry-1"].ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
}

func TestS3LostAnswerToPublishing(t *testing.T) {
	fl := threeZones(t)
	replies := 0
	fl.loseReply = func(string) bool {
		replies++
		return replies == 3
	}
	text := bundletest.Withdraw(bundletest.Next(bundletest.Text(1, 1, 2, 1, keys)), 1)
	op, err := fl.entries["entry-0"].ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replies >= 3, qt.IsTrue)
	again, err := fl.entries["entry-5"].ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.GetVersion(), qt.Equals, op.GetVersion())
	_, err = fl.entries["entry-5"].ag.Publish(fl.ctx, "op-2", []byte(text), bundletest.Sign(text, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
}

func TestS5PausedEntryRefusesOnWaking(t *testing.T) {
	fl := threeZones(t)
	en := fl.entries["entry-2"]
	en.paused = true
	version, err := fl.withdraw(fl.entries["entry-0"], fl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	fl.rounds(100, 100)
	qt.Assert(t, fl.accepted(), qt.Equals, version)
	en.paused = false
	_, err = en.ag.Authenticate(bundletest.Secret(1))
	qt.Assert(t, code.Of(err), qt.Equals, code.KeyedWorkPaused)
}

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
			fl := threeZones(t)
			fl.isolate("a")
			version, err := fl.withdraw(fl.entries["entry-6"], fl.headText(), 1, "op-1")
			qt.Assert(t, err, qt.IsNil)
			fl.rounds(80, 100)
			qt.Assert(t, fl.accepted(), qt.Equals, version)
			fl.tableDown[platform] = true
			fl.cuts = map[string]bool{}
			en := fl.add("entry-7", "a", perMille)
			for _, name := range fl.names() {
				fl.cut("entry-7", name)
			}
			for _, name := range tc.reachable {
				delete(fl.cuts, "entry-7/"+name)
			}
			for range 30 {
				fl.round(en)
				fl.advance(200)
				if en.ag.AllowsKeyedWork() {
					qt.Assert(t, en.ag.Bundle().Version(), qt.Equals, version)
				}
			}
			qt.Assert(t, en.ag.AllowsKeyedWork(), qt.Equals, tc.keyed)
			qt.Assert(t, en.ag.Ready(), qt.Equals, tc.keyed)
		})
	}
}

func TestS7TwoOperatorsOverOneBase(t *testing.T) {
	fl := threeZones(t)
	base := fl.headText()
	one, err := fl.withdraw(fl.entries["entry-0"], base, 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	_, err = fl.withdraw(fl.entries["entry-4"], base, 2, "op-2")
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	qt.Assert(t, err, qt.ErrorMatches, fmt.Sprintf("(?s).*version %d replaces version 1, the head is version %d.*", one, one))
}

func TestS9SignOffsAndLeakedKey(t *testing.T) {
	fl := newFleet("a")
	en := fl.entries["entry-0"]
	text := bundletest.Text(1, 2, 2, 1, keys)
	_, err := en.ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0, 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.SignOffMissing)
	_, err = en.ag.Publish(fl.ctx, "op-1", []byte(text), bundletest.Sign(text, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	next := bundletest.Next(text)
	_, err = en.ag.Publish(fl.ctx, "op-2", []byte(next), bundletest.Sign(text, 0, 1))
	qt.Assert(t, code.Of(err), qt.Equals, code.SignOffMissing)
	_, err = en.ag.Publish(fl.ctx, "op-2", []byte(next), bundletest.Sign(next, 0, 2))
	qt.Assert(t, code.Of(err), qt.Equals, code.OperatorUnknown)
	without := bundletest.WithoutOperator(next, 1)
	_, err = en.ag.Publish(fl.ctx, "op-3", []byte(without), bundletest.Sign(without, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	leaked := bundletest.Next(without)
	_, err = en.ag.Publish(fl.ctx, "op-4", []byte(leaked), bundletest.Sign(leaked, 1))
	qt.Assert(t, code.Of(err), qt.Equals, code.OperatorUnknown)
}

func TestWithdrawnKeyNeverReturns(t *testing.T) {
	fl := newFleet("a")
	en := fl.entries["entry-0"]
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
		_, err = en.ag.Publish(fl.ctx, fmt.Sprintf("op-%d", i), []byte(tc.text), bundletest.Sign(tc.text, 0))
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf("%s, version %d: %v", tc.name, bd.Version(), err))
	}
}

func TestReplacedEntryIsAnotherIncarnation(t *testing.T) {
	fl := threeZones(t)
	old := fl.entries["entry-5"].mb.GetIncarnation()
	en := fl.replace("entry-5")
	fl.rounds(12, 1000)
	for _, name := range fl.names() {
		rs := fl.entries[name].ag.Voter().Roster()
		qt.Check(t, rs.Has(old), qt.IsFalse)
		qt.Check(t, rs.Has(en.mb.GetIncarnation()), qt.IsTrue)
		qt.Check(t, rs.Message().GetUnsettled(), qt.HasLen, 0, qt.Commentf("%s", name))
	}
	qt.Assert(t, en.ag.AllowsKeyedWork(), qt.IsTrue)
}

func TestPublisherDiesBeforePush(t *testing.T) {
	fl := threeZones(t)
	for _, name := range fl.names() {
		fl.cut("entry-4", name)
	}
	version, err := fl.withdraw(fl.entries["entry-4"], fl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	dead := fl.entries["entry-4"]
	dead.paused = true
	fl.heal()
	fl.rounds(12, 1000)
	qt.Assert(t, fl.accepted(), qt.Equals, version)
	status := fl.entries["entry-0"].ag.Status()
	qt.Assert(t, status.GetAccepted(), qt.Equals, version)
	for _, line := range status.GetEntries() {
		qt.Check(t, line.GetVersion() == version, qt.Equals, line.GetName() != "entry-4", qt.Commentf("%v", line))
	}
}

func TestAllProcessesRestart(t *testing.T) {
	fl := threeZones(t)
	for _, name := range fl.names() {
		fl.replace(name)
	}
	fl.rounds(20, 1000)
	version, err := fl.withdraw(fl.entries["entry-3"], fl.headText(), 1, "op-1")
	qt.Assert(t, err, qt.IsNil)
	fl.rounds(8, 1000)
	qt.Assert(t, fl.accepted(), qt.Equals, version)
	for _, name := range fl.names() {
		qt.Check(t, fl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue)
		qt.Check(t, fl.entries[name].ag.Voter().Roster().Message().GetUnsettled(), qt.HasLen, 0)
	}
}

// The table fails while the entries that booted first still hold rosters with few members; all of them must learn the full roster from one another and allow keyed work.
func TestTableDiesRightAfterStart(t *testing.T) {
	fl := newFleet("a", "a", "b", "b", "c")
	_, err := fl.withdraw(fl.entries["entry-0"], "", 0, firstText)
	qt.Assert(t, err, qt.IsNil)
	for _, name := range fl.names() {
		fl.entries[name].ag.Boot(fl.ctx, nil)
	}
	fl.tableDown[platform] = true
	fl.rounds(20, 500)
	for _, name := range fl.names() {
		qt.Check(t, fl.entries[name].ag.Members(), qt.HasLen, 5)
		qt.Check(t, fl.entries[name].ag.AllowsKeyedWork(), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Older rosters must settle even if some of their members exchange no regular heartbeats with the coordinator, the entry that settles them.
func TestRostersSettleWithoutDirectLinks(t *testing.T) {
	for first := range 12 {
		fl := newFleet()
		name := fmt.Sprintf("entry-%d", 20+first)
		_, err := fl.withdraw(fl.add(name, "b", perMille), "", 0, firstText)
		qt.Assert(t, err, qt.IsNil)
		fl.rounds(8, 1000)
		for i, zone := range []string{"a", "a", "b", "c", "c"} {
			fl.add(fmt.Sprintf("entry-%d", i), zone, perMille)
		}
		fl.rounds(20, 1000)
		for _, name := range fl.names() {
			rs := fl.entries[name].ag.Voter().Roster()
			qt.Check(t, rs.Members(), qt.HasLen, 6)
			qt.Check(t, rs.Message().GetUnsettled(), qt.HasLen, 0, qt.Commentf("first %d, %s", first, name))
		}
	}
}
