package relayserver

import (
	"cmp"
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Server makes the calls that the owner sends; its function fields must be set before it serves.
type Server struct {
	ck *clock.Clock
	lg *event.Log
	// Order sends an order to a VM, Poll polls one; both bound their own duration.
	Order func(ctx context.Context, od *workpb.Order) *workpb.Outcome
	Poll  func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict)
	// ReadPayload returns the stored payload of a job.
	ReadPayload func(ctx context.Context, job string) (string, error)

	mu       sync.Mutex
	payloads map[string]string
}

// maxPayloads limits the cached payloads, which are dropped all at once: at 4,000 bytes each they take 4 MB.
const maxPayloads = 1000

// New returns a server without its functions.
func New(ck *clock.Clock, lg *event.Log) *Server {
	return &Server{ck: ck, lg: lg, payloads: map[string]string{}}
}

// Carry makes each received call at once and sends its result when it is known.
func (sv *Server) Carry(sm relaypb.DRPCRelay_CarryStream) error {
	var sending sync.Mutex
	for {
		ca, err := sm.Recv()
		if err != nil {
			// The owner has closed the stream, or the connection is lost.
			return nil
		}
		go func() {
			rs := sv.call(sm.Context(), ca)
			sending.Lock()
			defer sending.Unlock()
			rs.ClockMs = sv.ck.Now()
			if err := sm.Send(rs); err != nil {
				sv.lg.Fail("relay-result-unsent", err, "verdict", rs.GetVerdict().String())
			}
		}()
	}
}

func (sv *Server) call(ctx context.Context, ca *relaypb.Call) *relaypb.Result {
	rs := &relaypb.Result{Id: ca.GetId()}
	od, lr := ca.GetOrder(), ca.GetPoll()
	if od == nil && lr == nil {
		return rs
	}
	if lr == nil && ca.GetJob() != "" {
		text, err := sv.payload(ctx, ca.GetJob())
		if err != nil {
			sv.lg.Fail("payload-unread", err, "job", ca.GetJob())
			rs.Verdict = workpb.Verdict_NOT_SENT
			return rs
		}
		od.Payload = text
	}
	if lateMS := sv.ck.Now() - ca.GetLatestMs(); ca.GetLatestMs() > 0 && lateMS > 0 {
		sv.lg.Info("call-too-late", "vm", cmp.Or(od.GetVm(), lr.GetVm()), "task", od.GetTask(), "late-ms", lateMS)
		rs.Verdict = workpb.Verdict_NOT_SENT
		return rs
	}
	// The call may wait for a connection to its VM.
	ctx = sendcheck.With(ctx, func() bool { return ca.GetLatestMs() <= 0 || sv.ck.Now() <= ca.GetLatestMs() })
	if lr != nil {
		rs.Look, rs.Verdict = sv.Poll(ctx, lr)
		return rs
	}
	oc := sv.Order(ctx, od)
	rs.Verdict, rs.VmClockMs = oc.GetVerdict(), oc.GetClockMs()
	return rs
}

// payload returns a job's payload, which never changes.
func (sv *Server) payload(ctx context.Context, job string) (string, error) {
	sv.mu.Lock()
	text, ok := sv.payloads[job]
	sv.mu.Unlock()
	if ok {
		return text, nil
	}
	text, err := sv.ReadPayload(ctx, job)
	if err != nil {
		return "", err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.payloads) >= maxPayloads {
		clear(sv.payloads)
	}
	sv.payloads[job] = text
	return text, nil
}
