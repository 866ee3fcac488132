package requestrouter_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/idempotencykey"
	"github.com/fulmarloft/fulmarloft/internal/request/requestrouter"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const retentionMS = 600_000

// fleet is a set of routers that can reach one another; it counts how often each request ran.
type fleet struct {
	ck          *clock.Clock
	tb          *memtable.Table
	routers     map[string]*requestrouter.Router
	runs        map[string]int
	partitioned bool
	// dropAnswers loses the answers of forwarded requests after they ran.
	dropAnswers bool
	block       chan struct{}
	ans         *callpb.Answer
}

func newFleet(names ...string) *fleet {
	fl := &fleet{
		ck: clock.NewFake(1_000_000), tb: memtable.New(), routers: map[string]*requestrouter.Router{}, runs: map[string]int{},
		ans: &callpb.Answer{Outcome: "answered", Status: 200, Body: []byte("whole")},
	}
	for _, name := range names {
		fl.addRouter(name)
	}
	return fl
}

func (fl *fleet) addRouter(name string) {
	retention := func() int64 { return retentionMS }
	cm := idempotencykey.New(fl.ck, fl.tb.Client(name), name, retention)
	fl.routers[name] = requestrouter.New(fl.ck, name, retention, fl.run, fl.forward, cm.Do)
}

func (fl *fleet) run(_ context.Context, req *callpb.Request) *callpb.Answer {
	fl.runs[req.GetId()+req.GetClaim()]++
	if fl.block != nil {
		<-fl.block
	}
	return fl.ans
}

func (fl *fleet) forward(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error) {
	rt := fl.routers[incarnation]
	if rt == nil || fl.partitioned {
		return nil, errors.New("unreachable")
	}
	ans, err := rt.Run(ctx, req)
	if fl.dropAnswers {
		return nil, errors.New("lost")
	}
	return ans, err
}

func (fl *fleet) call(at, id, body string) code.Code {
	ans := fl.routers[at].Call(context.Background(), &callpb.Request{Id: id, Service: "replies", Team: "bratislava", Body: []byte(body), LeftMs: 1000})
	return code.Code(ans.GetCode())
}

// R2: a repeat through another entry must never run again after the first copy ran, also if the answer was lost or the issuer is gone.
func TestRepeatsThroughOtherEntries(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first func(fl *fleet, id string) code.Code
		want  []code.Code
		runs  int
	}{
		{"answered by the issuer", func(fl *fleet, id string) code.Code { return fl.call("one", id, "x") }, []code.Code{code.OK, code.OK}, 1},
		{"answer lost between the entries", func(fl *fleet, id string) code.Code {
			fl.dropAnswers = true
			defer func() { fl.dropAnswers = false }()
			return fl.call("two", id, "x")
		}, []code.Code{code.IssuerGone, code.OK}, 1},
		{"issuer replaced after the run", func(fl *fleet, id string) code.Code {
			cd := fl.call("one", id, "x")
			delete(fl.routers, "one")
			return cd
		}, []code.Code{code.OK, code.IssuerGone}, 1},
		{"issuer unreachable from the start", func(fl *fleet, id string) code.Code {
			fl.partitioned = true
			return fl.call("two", id, "x")
		}, []code.Code{code.IssuerGone, code.IssuerGone}, 0},
		{"retention period over", func(fl *fleet, id string) code.Code {
			cd := fl.call("one", id, "x")
			fl.ck.Advance(retentionMS * 11 / 10)
			return cd
		}, []code.Code{code.OK, code.RequestIDExpired}, 1},
		{"refused before it ran", func(fl *fleet, id string) code.Code {
			answered := fl.ans
			fl.ans = &callpb.Answer{Outcome: "not-run", Code: int32(code.QueueFull)}
			defer func() { fl.ans = answered }()
			return fl.call("one", id, "x")
		}, []code.Code{code.QueueFull, code.OK}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet("one", "two")
			id := fl.routers["one"].Issue(1)[0]
			qt.Check(t, tc.first(fl, id), qt.Equals, tc.want[0])
			qt.Check(t, fl.call("two", id, "x"), qt.Equals, tc.want[1])
			qt.Check(t, fl.runs[id], qt.Equals, tc.runs)
		})
	}
}

// Repeats that arrive while the first copy runs must wait for its answer instead of running again.
func TestRepeatJoinsTheRunningCopy(t *testing.T) {
	fl := newFleet("one", "two")
	fl.block = make(chan struct{})
	id := fl.routers["one"].Issue(1)[0]
	got := make(chan code.Code)
	for range 3 {
		go func() { got <- fl.call("two", id, "x") }()
	}
	fl.block <- struct{}{}
	for range 3 {
		qt.Check(t, <-got, qt.Equals, code.OK)
	}
	qt.Check(t, fl.runs[id], qt.Equals, 1)
}

// A request whose id was never issued must not run, and an id must not be used for a request with another body.
func TestIDsThatNoEntryIssued(t *testing.T) {
	fl := newFleet("one")
	issued := fl.routers["one"].Issue(1)[0]
	for _, tc := range []struct {
		name, id string
		want     code.Code
	}{
		{"malformed id", "abc", code.RequestIDUnissued},
		{"sequence number not issued yet", "one-" + "lfls-" + "zz", code.RequestIDUnissued},
		{"issued in the future", "one-zzzzzzzz-1", code.RequestIDUnissued},
		{"issued in the future, by another entry", "two-zzzzzzzz-1", code.RequestIDUnissued},
		{"single-use id of a request that came without one", fl.routers["one"].SingleUseID(), code.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, fl.call("one", tc.id, "x"), qt.Equals, tc.want)
		})
	}
	qt.Check(t, fl.call("one", issued, "x"), qt.Equals, code.OK)
	qt.Check(t, fl.call("one", issued, "another body"), qt.Equals, code.IDReused)
}

// R2: a request with an idempotency key must run at most once, also if the table's answers are lost, and must not run while the table is down.
func TestClaims(t *testing.T) {
	claim := func(fl *fleet, at string) code.Code {
		ans := fl.routers[at].Call(context.Background(), &callpb.Request{Service: "replies", Team: "bratislava", Claim: "reply-7", LeftMs: 1000})
		return code.Code(ans.GetCode())
	}
	down := func(string, bool) error { return code.TableUnavailable }
	for _, tc := range []struct {
		name          string
		before, after func(string, bool) error
		first, again  code.Code
		runs          int
	}{
		{"table up", nil, nil, code.OK, code.OK, 1},
		{"table down", down, nil, code.ClaimUnwritten, code.OK, 1},
		{"claim written, answer lost", nil, down, code.ClaimUnwritten, code.MayHaveRun, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet("one", "two")
			fl.tb.SetFaults(tc.before, tc.after)
			qt.Check(t, claim(fl, "one"), qt.Equals, tc.first)
			fl.tb.SetFaults(nil, nil)
			qt.Check(t, claim(fl, "two"), qt.Equals, tc.again)
			qt.Check(t, fl.runs["reply-7"], qt.Equals, tc.runs)
		})
	}
}

// A second request under a used key must be refused with a code that says so; a caller can't tell from a malformed header what to mend.
func TestSecondBodyUnderAUsedKey(t *testing.T) {
	fl := newFleet("one", "two")
	call := func(at, body string) code.Code {
		ans := fl.routers[at].Call(context.Background(), &callpb.Request{Service: "replies", Team: "bratislava", Claim: "reply-7", Body: []byte(body), LeftMs: 1000})
		return code.Code(ans.GetCode())
	}
	qt.Check(t, call("one", "x"), qt.Equals, code.OK)
	qt.Check(t, call("one", "another body"), qt.Equals, code.IDReused)
	qt.Check(t, call("two", "another body"), qt.Equals, code.IDReused)
	qt.Check(t, call("two", "x"), qt.Equals, code.OK)
	qt.Check(t, fl.runs["reply-7"], qt.Equals, 1)
}

func BenchmarkMemoryPerID(b *testing.B) {
	fl := newFleet("one")
	rt := fl.routers["one"]
	b.ReportAllocs()
	for b.Loop() {
		rt.Call(context.Background(), &callpb.Request{Id: rt.Issue(1)[0], Service: "replies", Body: []byte("x")})
		fl.ck.Advance(4)
		clear(fl.runs)
	}
	b.ReportMetric(float64(rt.Remembered()), "remembered")
}
