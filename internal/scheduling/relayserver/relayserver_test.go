package relayserver_test

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relayserver"
)

// stream delivers some calls and takes their results.
type stream struct {
	drpc.Stream
	ctx     context.Context
	calls   chan *relaypb.Call
	results chan *relaypb.Result
}

func (sm *stream) Context() context.Context { return sm.ctx }

func (sm *stream) Recv() (*relaypb.Call, error) {
	ca, ok := <-sm.calls
	if !ok {
		return nil, io.EOF
	}
	return ca, nil
}

func (sm *stream) Send(rs *relaypb.Result) error {
	sm.results <- rs
	return nil
}

// A call that no owner sends must be answered; a panic in its goroutine would end the whole entry.
func TestOddCallsAreAnswered(t *testing.T) {
	lr, od := &workpb.LookRequest{Vm: "i-1"}, &workpb.Order{Verb: workpb.Verb_START, Vm: "i-1"}
	for _, tc := range []struct {
		name  string
		ca    *relaypb.Call
		calls int
	}{
		{"empty", &relaypb.Call{}, 0},
		{"job only", &relaypb.Call{Job: "j"}, 0},
		{"poll with a job", &relaypb.Call{Poll: lr, Job: "j"}, 1},
		{"order and poll", &relaypb.Call{Order: od, Poll: lr, Job: "j"}, 1},
		{"order without fields", &relaypb.Call{Order: &workpb.Order{}, Job: "j"}, 1},
		{"unknown verb", &relaypb.Call{Order: &workpb.Order{Verb: 99}}, 1},
		{"negative id and time", &relaypb.Call{Id: -1, Order: od, LatestMs: -1}, 1},
		{"poll with a negative wait", &relaypb.Call{Poll: &workpb.LookRequest{WaitMs: -1 << 62}}, 1},
	} {
		made := 0
		sv := relayserver.New(clock.New(), event.Discard())
		sv.Order = func(context.Context, *workpb.Order) *workpb.Outcome {
			made++
			return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
		}
		sv.Poll = func(context.Context, *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
			made++
			return &workpb.Look{}, workpb.Verdict_ACCEPTED
		}
		sv.ReadPayload = func(context.Context, string) (string, error) { return "payload", nil }
		sm := &stream{ctx: t.Context(), calls: make(chan *relaypb.Call, 1), results: make(chan *relaypb.Result, 1)}
		sm.calls <- tc.ca
		close(sm.calls)
		qt.Assert(t, sv.Carry(sm), qt.IsNil, qt.Commentf(tc.name))
		qt.Check(t, (<-sm.results).GetId(), qt.Equals, tc.ca.GetId(), qt.Commentf(tc.name))
		qt.Check(t, made, qt.Equals, tc.calls, qt.Commentf(tc.name))
	}
}

// A call that waits for its connection to the VM, in a process that is paused for example, must not be sent once the owner has given it up.
func TestCallIsNotSentAfterItsLatestTime(t *testing.T) {
	for _, tc := range []struct {
		pauseMS int64
		want    workpb.Verdict
	}{{400, workpb.Verdict_ACCEPTED}, {600, workpb.Verdict_NOT_SENT}} {
		ck := clock.NewFake(1000)
		sv := relayserver.New(ck, event.Discard())
		sv.Order = func(ctx context.Context, _ *workpb.Order) *workpb.Outcome {
			ck.Advance(tc.pauseMS)
			if !sendcheck.Allowed(ctx) {
				return &workpb.Outcome{Verdict: workpb.Verdict_NOT_SENT}
			}
			return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
		}
		sm := &stream{ctx: t.Context(), calls: make(chan *relaypb.Call, 1), results: make(chan *relaypb.Result, 1)}
		sm.calls <- &relaypb.Call{Id: 1, Order: &workpb.Order{Verb: workpb.Verb_START}, LatestMs: 1500}
		close(sm.calls)
		qt.Assert(t, sv.Carry(sm), qt.IsNil)
		qt.Check(t, (<-sm.results).GetVerdict(), qt.Equals, tc.want)
	}
}
