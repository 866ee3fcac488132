package limit

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/unit"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// calm returns a model whose network and table do what they should.
func calm() *model { return newModel(func(n int) int { return n - 1 }, "") }

func (md *model) take(t *testing.T, nd *node, count int) []*unit.Unit {
	t.Helper()
	var list []*unit.Unit
	for range count {
		un, err := nd.hd.Acquire(context.Background(), modelTeam, modelLongest)
		qt.Assert(t, err, qt.IsNil)
		list = append(list, un)
	}
	return list
}

func (md *model) refused(t *testing.T, nd *node) {
	t.Helper()
	_, err := nd.hd.Acquire(context.Background(), modelTeam, modelLongest)
	qt.Assert(t, code.Of(err), qt.Equals, code.LimitReached)
}

func (md *model) publish(limit int64, nodes ...*node) {
	md.limits = append(md.limits, limit)
	for _, nd := range nodes {
		md.adopt(nd)
	}
}

func (md *model) tickAll(times int) {
	for range times {
		md.advance(500)
		for _, nd := range md.nodes {
			if !nd.gone {
				nd.hd.Tick(context.Background())
			}
		}
	}
}

func (md *model) tableDown(kind int) {
	for _, nd := range md.nodes {
		md.tableBy[nd.name] = kind
	}
}

// Found by the model: an entry whose part was lowered by an unfinished write adopted a cut as if it held nothing.
func TestCutAfterUnfinishedWrite(t *testing.T) {
	md := calm()
	one := md.nodes[0]
	for _, un := range md.take(t, one, 2) {
		un.Release()
	}
	one.hd.Drain()
	md.tableDown(2)
	one.hd.Tick(context.Background())
	md.publish(0, md.nodes...)
	md.tableDown(0)
	md.tickAll(4)
	md.refused(t, one)
}

// Found by the model: after a cut one entry started work within its scaled part while another still ran more than its own.
func TestCutCountsWorkThatStillRuns(t *testing.T) {
	md := calm()
	one, two := md.nodes[0], md.nodes[1]
	running := md.take(t, one, 4)
	for _, un := range md.take(t, two, 3) {
		un.Release()
	}
	md.publish(4, md.nodes...)
	md.tickAll(4)
	md.refused(t, two)
	for _, un := range running {
		un.Release()
	}
	md.tickAll(30)
	md.take(t, two, 4)
	md.tickAll(2)
	md.refused(t, two)
	md.refused(t, one)
}

// An entry that skipped the version between can't know that others took units under it; without the rule it would start an eighth request.
func TestSkippedVersionAdmitsNothing(t *testing.T) {
	for _, tc := range []struct {
		skip string
		want code.Code
	}{
		{"", code.LimitReached},
		{"version-gap", code.OK},
	} {
		md := newModel(func(n int) int { return n - 1 }, tc.skip)
		one, two := md.nodes[0], md.nodes[1]
		for _, un := range md.take(t, one, 7) {
			un.Release()
		}
		md.publish(14, two, md.nodes[2], md.nodes[3])
		md.take(t, two, 7)
		md.publish(7, md.nodes...)
		_, err := one.hd.Acquire(context.Background(), modelTeam, modelLongest)
		qt.Check(t, code.Of(err), qt.Equals, tc.want)
	}
}

// S3: a give-back whose answer was lost took effect, and another entry has the units; without the rule an eighth request would start.
func TestGiveBackInDoubtAdmitsNothing(t *testing.T) {
	for _, tc := range []struct {
		skip string
		want code.Code
	}{
		{"", code.LimitReached},
		{"doubt", code.OK},
	} {
		md := newModel(func(n int) int { return n - 1 }, tc.skip)
		one, two := md.nodes[0], md.nodes[1]
		for _, un := range md.take(t, one, 7) {
			un.Release()
		}
		one.hd.Drain()
		md.tableBy[one.name] = 2
		one.hd.Tick(context.Background())
		md.take(t, two, 7)
		_, err := one.hd.Acquire(context.Background(), modelTeam, modelLongest)
		qt.Check(t, code.Of(err), qt.Equals, tc.want)
	}
}

// Found by the model: units that a lender converted after a cut took new work at a borrower that had adopted the cut.
func TestConvertedLoanAfterACut(t *testing.T) {
	md := calm()
	one, two := md.nodes[0], md.nodes[1]
	for _, un := range md.take(t, one, 7) {
		un.Release()
	}
	md.tickAll(4)
	running := md.take(t, two, 2)
	md.publish(0, two)
	sh := one.hd.share(modelTeam)
	for id := range sh.out {
		qt.Assert(t, one.hd.rewrite(context.Background(), sh, change{loan: id}), qt.IsNil)
	}
	md.tickAll(2)
	running[0].Release()
	md.refused(t, two)
	md.publish(0, md.nodes...)
	md.tickAll(4)
	running[1].Release()
	md.refused(t, two)
	md.refused(t, one)
}

func TestUnitNotStartedBeforeACutMayNotStart(t *testing.T) {
	md := calm()
	un := md.take(t, md.nodes[0], 1)[0]
	qt.Assert(t, un.Check(), qt.IsNil)
	md.publish(1, md.nodes...)
	qt.Assert(t, code.Of(un.Check()), qt.Equals, code.LeaseLapsed)
}

// S4: units lent while the table is down don't come back twice when their first holder is declared gone.
func TestLoanOfGoneLenderComesBackOnce(t *testing.T) {
	md := calm()
	one, two, three := md.nodes[0], md.nodes[1], md.nodes[2]
	for _, un := range md.take(t, one, 7) {
		un.Release()
	}
	md.tickAll(4)
	md.tableDown(1)
	lent := md.take(t, two, 3)
	one.gone, one.listed = true, true
	md.advance(modelLoanMS * 9 / 10)
	for _, un := range lent {
		qt.Assert(t, un.Check(), qt.IsNil)
	}
	sent := two.ck.Now()
	md.tableDown(0)
	md.tickAll(1)
	md.refused(t, three)
	md.tickAll(9)
	md.refused(t, three)
	for _, un := range lent {
		un.ReleaseUnknown(sent)
	}
	md.tickAll(30)
	md.take(t, three, 7)
	md.refused(t, two)
}

// S2 and S4: with the table down an idle part reaches a hungry entry in one call, and a cut-off entry keeps what it has.
func TestIdlePartFlowsWithTableDown(t *testing.T) {
	md := calm()
	one, two, three := md.nodes[0], md.nodes[1], md.nodes[2]
	for _, un := range md.take(t, one, 7) {
		un.Release()
	}
	md.tickAll(4)
	md.tableDown(1)
	for _, un := range md.take(t, two, 7) {
		un.Release()
	}
	md.cut[one.name+three.name] = true
	md.cut[two.name+three.name] = true
	md.refused(t, three)
	md.tickAll(8)
	md.take(t, one, 7)
}

func TestLapsedLoanAdmitsNothing(t *testing.T) {
	md := calm()
	one, two := md.nodes[0], md.nodes[1]
	for _, un := range md.take(t, one, 7) {
		un.Release()
	}
	md.tickAll(4)
	un := md.take(t, two, 1)[0]
	md.advance(10_000)
	qt.Assert(t, code.Of(un.Check()), qt.Equals, code.LeaseLapsed)
}

func TestUnknownOutcomeHoldsItsUnit(t *testing.T) {
	md := calm()
	one := md.nodes[0]
	un := md.take(t, one, 7)[0]
	un.ReleaseUnknown(one.ck.Now())
	un.Release()
	md.advance(modelLongest - 1)
	md.refused(t, one)
	md.advance(modelLongest / 10)
	md.take(t, one, 1)
}

func TestDrainGivesEverythingBack(t *testing.T) {
	md := calm()
	one, two := md.nodes[0], md.nodes[1]
	running := md.take(t, one, 7)
	one.hd.Drain()
	md.tickAll(4)
	qt.Assert(t, one.hd.Empty(), qt.IsFalse)
	for _, un := range running {
		un.Release()
	}
	md.tickAll(4)
	qt.Assert(t, one.hd.Empty(), qt.IsTrue)
	md.tickAll(20)
	md.take(t, two, 7)
}

func BenchmarkAcquireRelease(b *testing.B) {
	md := calm()
	one := md.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		un, err := one.hd.Acquire(context.Background(), modelTeam, modelLongest)
		if err != nil {
			b.Fatal(err)
		}
		un.Release()
	}
}

// Found by a trial run: the first entry that asked while no other was in reach took the whole limit, and its loss stopped the team everywhere.
func TestFirstEntryLeavesTheOthersTheirParts(t *testing.T) {
	for _, tc := range []struct {
		expected, most int64
	}{{1, 120}, {8, 15}, {28, 5}} {
		md := calm()
		one := md.nodes[0]
		md.publish(120, one)
		one.hd.peers = func() []string { return nil }
		one.hd.SetExpectedEntries(func() int64 { return tc.expected })
		md.take(t, one, 1)
		for range 4 {
			md.advance(500)
			one.hd.Tick(context.Background())
		}
		qt.Check(t, one.hd.share(modelTeam).part <= tc.most, qt.IsTrue, qt.Commentf("%d of %d expected entries: part %d", 1, tc.expected, one.hd.share(modelTeam).part))
	}
}
