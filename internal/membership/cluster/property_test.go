package cluster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// history records facts about the whole cluster that no single entry knows, to check invariants against.
type history struct {
	cl        *testCluster
	accepted  uint64
	withdrawn map[int]uint64
	held      map[string]uint64
	op        int
	depth     int
}

func newHistory(bypass func(version uint64) bool) *history {
	cl := newTestCluster("a", "a", "b", "b", "c")
	hs := &history{cl: cl, withdrawn: map[int]uint64{}, held: map[string]uint64{}}
	if _, err := cl.withdraw(cl.entries["entry-0"], "", 0, firstText); err != nil {
		panic(err)
	}
	cl.rounds(12, 1000)
	cl.bypass = bypass
	for _, en := range cl.entries {
		en.ag.Voter().SetBypass(bypass)
	}
	return hs
}

func (hs *history) check(fail func(format string, args ...any)) {
	hs.accepted = max(hs.accepted, hs.cl.accepted())
	for _, name := range hs.cl.names() {
		en := hs.cl.entries[name]
		inc := en.mb.GetIncarnation()
		version := uint64(0)
		if bd := en.ag.Bundle(); bd != nil {
			version = bd.Version()
		}
		if version < hs.held[inc] {
			fail("%s went back from version %d to %d", inc, hs.held[inc], version)
		}
		hs.held[inc] = version
		if en.ag.AllowsKeyedWork() && version < hs.accepted {
			fail("%s takes keyed work under version %d while %d is accepted", inc, version, hs.accepted)
		}
		hs.checkKeys(fail, en)
	}
}

func (hs *history) checkKeys(fail func(format string, args ...any), en *entry) {
	for id, version := range hs.withdrawn {
		if version > hs.accepted {
			continue
		}
		if _, err := en.ag.Authenticate(bundletest.Secret(id)); err == nil {
			fail("%s accepts key-%d, withdrawn in version %d, while %d is accepted", en.mb.GetIncarnation(), id, version, hs.accepted)
		}
	}
}

func (hs *history) entry(t *rapid.T) *entry {
	return hs.cl.entries[rapid.SampledFrom(hs.cl.names()).Draw(t, "entry")]
}

func (hs *history) publish(t *rapid.T) {
	en := hs.entry(t)
	if en.paused || hs.cl.headText() == "" {
		return
	}
	id := rapid.IntRange(1, keys-1).Draw(t, "key")
	hs.op++
	version, err := hs.cl.withdraw(en, hs.cl.headText(), id, fmt.Sprintf("op-%d", hs.op))
	if cd := code.Of(err); cd != code.OK && cd != code.TableInDoubt {
		return
	}
	if _, ok := hs.withdrawn[id]; !ok && err == nil {
		hs.withdrawn[id] = version
	}
}

// interleave returns a function that checks the invariants and may run other events while a reply is in flight.
func (hs *history) interleave(t *rapid.T) func() {
	return func() {
		if hs.depth > 0 {
			return
		}
		hs.depth++
		defer func() { hs.depth-- }()
		hs.check(t.Fatalf)
		switch rapid.IntRange(0, 40).Draw(t, "meanwhile") {
		case 0:
			hs.cl.advance(rapid.Int64Range(1, 3000).Draw(t, "ms"))
		case 1:
			hs.publish(t)
		case 2:
			hs.cl.round(hs.entry(t))
		case 3:
			hs.entry(t).ag.PushHeld(hs.cl.ctx)
		}
	}
}

func (hs *history) actions() map[string]func(*rapid.T) {
	cl := hs.cl
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { hs.check(t.Fatalf) },
		"advance": func(t *rapid.T) {
			cl.advance(rapid.Int64Range(1, 3000).Draw(t, "ms"))
		},
		"rounds": func(t *rapid.T) {
			cl.rounds(rapid.IntRange(1, 4).Draw(t, "count"), rapid.Int64Range(50, 1000).Draw(t, "ms"))
		},
		"round":   func(t *rapid.T) { cl.round(hs.entry(t)) },
		"publish": hs.publish,
		"cut": func(t *rapid.T) {
			cl.cut(hs.entry(t).mb.GetName(), hs.entry(t).mb.GetName())
		},
		"isolate": func(t *rapid.T) {
			cl.isolate(hs.entry(t).mb.GetZone())
		},
		"heal": func(*rapid.T) {
			cl.heal()
			cl.loseReply = func(string) bool { return false }
		},
		"heal-cuts":   func(*rapid.T) { cl.cuts = map[string]bool{} },
		"long-rounds": func(*rapid.T) { cl.rounds(6, 1000) },
		"table-down": func(*rapid.T) {
			cl.tableDown[platform] = true
		},
		"lose-replies": func(t *rapid.T) {
			one := rapid.IntRange(1, 6).Draw(t, "one-in")
			count := 0
			cl.loseReply = func(string) bool {
				count++
				return count%6 >= one
			}
		},
		"pause": func(t *rapid.T) {
			en := hs.entry(t)
			en.paused = true
		},
		"wake": func(t *rapid.T) {
			en := hs.entry(t)
			en.paused = false
		},
		"replace": func(t *rapid.T) {
			cl.replace(hs.entry(t).mb.GetName())
		},
		"gone": func(t *rapid.T) {
			if len(cl.ended) > 0 {
				hs.entry(t).ag.AnnounceGone(rapid.SampledFrom(cl.ended).Draw(t, "ended"))
			}
		},
	}
}

func runActions(bypass func(version uint64) bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		hs := newHistory(bypass)
		hs.cl.duringCall = hs.interleave(t)
		t.Repeat(hs.actions())
	}
}

// Under random faults, no entry may go back to an older version, take keyed work under a version older than the accepted one, or accept a key whose withdrawal is accepted.
func TestPropertyKeyedWorkIsNeverBehindAcceptance(t *testing.T) {
	rapid.Check(t, runActions(nil))
}

// TestPropertyDetectsBrokenVoter checks that the invariant check can fail: with the bypass, voters that know a newer version vouch for an entry that returns with an older one.
func TestPropertyDetectsBrokenVoter(t *testing.T) {
	for _, tc := range []struct {
		name   string
		bypass func(version uint64) bool
		caught bool
	}{
		{"without bypass", nil, false},
		{"with bypass", func(uint64) bool { return true }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hs := newHistory(tc.bypass)
			caught := false
			fail := func(string, ...any) { caught = true }
			hs.cl.isolate("a")
			version, err := hs.cl.withdraw(hs.cl.entries["entry-4"], hs.cl.headText(), 1, "op-1")
			qt.Assert(t, err, qt.IsNil)
			hs.withdrawn[1] = version
			hs.cl.rounds(10, 1000)
			hs.check(fail)
			qt.Assert(t, hs.accepted, qt.Equals, version)
			qt.Assert(t, caught, qt.IsFalse)
			hs.cl.cuts = map[string]bool{}
			hs.cl.entries["entry-0"].ag.Renew(hs.cl.ctx)
			hs.check(fail)
			qt.Assert(t, caught, qt.Equals, tc.caught)
		})
	}
}
