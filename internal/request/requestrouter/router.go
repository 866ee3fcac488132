package requestrouter

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestdedup"
	"github.com/fulmarloft/fulmarloft/internal/request/requestid"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Router issues request ids and routes each request to the entry that may run it; it is safe for concurrent use.
type Router struct {
	ck          *clock.Clock
	incarnation string
	retentionMS func() int64
	memory      *requestdedup.Memory
	seq         atomic.Uint64

	// run runs a request on this entry; forward sends it to the incarnation that issued its id; claim runs it once for the idempotency key that the caller chose.
	run     func(ctx context.Context, req *callpb.Request) *callpb.Answer
	forward func(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error)
	claim   func(ctx context.Context, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer
}

const (
	// MaxIssued is the maximum number of ids that one call may issue.
	MaxIssued = 1000
	// clockSkewMS is the maximum difference between the clocks of two entries that is tolerated.
	clockSkewMS = 5000
)

// New returns the router of one entry; retentionMS returns how long ids are remembered under the bundle in force.
func New(
	ck *clock.Clock, incarnation string, retentionMS func() int64,
	run func(ctx context.Context, req *callpb.Request) *callpb.Answer,
	forward func(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error),
	claim func(ctx context.Context, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer,
) *Router {
	return &Router{
		ck: ck, incarnation: incarnation, retentionMS: retentionMS, memory: requestdedup.New(ck, retentionMS),
		run: run, forward: forward, claim: claim,
	}
}

// Issue returns new ids that callers may use for their requests.
func (rt *Router) Issue(count int) []string {
	list := make([]string, 0, count)
	for range count {
		list = append(list, rt.newID(false))
	}
	return list
}

// SingleUseID returns an id for a request that came without one; a repeat under this id never runs.
func (rt *Router) SingleUseID() string { return rt.newID(true) }

// Call runs a request that a caller sent to this entry, or forwards it to the issuer of its id.
func (rt *Router) Call(ctx context.Context, req *callpb.Request) *callpb.Answer {
	if req.GetClaim() != "" {
		return rt.claim(ctx, req, Fingerprint(req), func() *callpb.Answer { return rt.run(ctx, req) })
	}
	if req.GetFresh() {
		return rt.run(ctx, req)
	}
	id, err := requestid.Parse(req.GetId())
	if err != nil {
		return requestdedup.ErrorAnswer(req, code.RequestIDUnissued)
	}
	if id.SingleUse() {
		return requestdedup.ErrorAnswer(req, code.MayHaveRun)
	}
	if id.Incarnation() == rt.incarnation {
		return rt.runIssued(ctx, id, req)
	}
	return rt.forwardToIssuer(ctx, id, req)
}

// Run runs a request that another entry forwarded to this one as the issuer of its id.
func (rt *Router) Run(ctx context.Context, req *callpb.Request) (*callpb.Answer, error) {
	id, err := requestid.Parse(req.GetId())
	if err != nil || id.SingleUse() || id.Incarnation() != rt.incarnation {
		return requestdedup.ErrorAnswer(req, code.IssuerGone), nil
	}
	return rt.runIssued(ctx, id, req), nil
}

// Remembered returns the number of ids whose outcomes this entry remembers.
func (rt *Router) Remembered() int { return rt.memory.Len() }

// Fingerprint returns a hash that is used to detect different requests under the same id.
func Fingerprint(req *callpb.Request) uint64 {
	dg := xxhash.New()
	for _, field := range []string{req.GetTeam(), req.GetService(), req.GetMethod(), req.GetPath()} {
		_, _ = dg.WriteString(field)
		_, _ = dg.Write([]byte{0})
	}
	_, _ = dg.Write(req.GetBody())
	return dg.Sum64()
}

func (rt *Router) newID(singleUse bool) string {
	return requestid.New(rt.incarnation, rt.ck.Now(), rt.seq.Add(1), singleUse).String()
}

// runIssued runs a request whose id this entry issued. If the caller disconnects while its request is queued, the request ends as not run, also for a repeat that waits for the same run.
func (rt *Router) runIssued(ctx context.Context, id requestid.ID, req *callpb.Request) *callpb.Answer {
	if id.Seq() > rt.seq.Load() {
		return requestdedup.ErrorAnswer(req, code.RequestIDUnissued)
	}
	return rt.memory.Do(ctx, id, req, Fingerprint(req), func() *callpb.Answer { return rt.run(ctx, req) })
}

// forwardToIssuer forwards a request to the issuer of its id, the only entry that may run it. If forwarding fails, an earlier copy may have run there.
func (rt *Router) forwardToIssuer(ctx context.Context, id requestid.ID, req *callpb.Request) *callpb.Answer {
	now := rt.ck.Now()
	if id.IssuedMS() > now+clockSkewMS {
		return requestdedup.ErrorAnswer(req, code.RequestIDUnissued)
	}
	if now-id.IssuedMS() > lease.ExpiredAfterMS(rt.retentionMS())+clockSkewMS {
		return requestdedup.ErrorAnswer(req, code.RequestIDExpired)
	}
	ctx, cancel := rt.ck.WithTimeout(ctx, req.GetLeftMs())
	defer cancel()
	ans, err := rt.forward(ctx, id.Incarnation(), req)
	if err != nil {
		return requestdedup.ErrorAnswer(req, code.IssuerGone)
	}
	return ans
}
