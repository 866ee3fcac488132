package requestdesk

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/requestid"
	"github.com/fulmarloft/fulmarloft/internal/requestmemory"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Router issues request ids and sends each request to where it may run; it is safe for concurrent use.
type Router struct {
	ck          *clock.Clock
	incarnation string
	keepMS      func() int64
	mm          *requestmemory.Memory
	seq         atomic.Uint64

	// run carries a request out here; forward passes it to its issuer; claim runs it under a key of the caller's choice.
	run     func(ctx context.Context, req *callpb.Request) *callpb.Answer
	forward func(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error)
	claim   func(ctx context.Context, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer
}

const (
	// MaxIssued is the most ids that one call issues.
	MaxIssued = 1000
	// Clocks of two entries may stand apart by this much.
	clockSkewMS = 5000
)

// New returns a desk of one entry; keepMS returns how long ids are remembered under the bundle in force.
func New(
	ck *clock.Clock, incarnation string, keepMS func() int64,
	run func(ctx context.Context, req *callpb.Request) *callpb.Answer,
	forward func(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error),
	claim func(ctx context.Context, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer,
) *Router {
	return &Router{
		ck: ck, incarnation: incarnation, keepMS: keepMS, mm: requestmemory.New(ck, keepMS),
		run: run, forward: forward, claim: claim,
	}
}

// Issue returns ids that callers may put on requests.
func (dk *Router) Issue(count int) []string {
	list := make([]string, 0, count)
	for range count {
		list = append(list, dk.next(false))
	}
	return list
}

// SingleUseID returns the id of a request that came without one; no repeat under it ever runs.
func (dk *Router) SingleUseID() string { return dk.next(true) }

// Call carries out a request that a caller sent to this entry.
func (dk *Router) Call(ctx context.Context, req *callpb.Request) *callpb.Answer {
	if req.GetClaim() != "" {
		return dk.claim(ctx, req, Fingerprint(req), func() *callpb.Answer { return dk.run(ctx, req) })
	}
	if req.GetFresh() {
		return dk.run(ctx, req)
	}
	id, err := requestid.Parse(req.GetId())
	if err != nil {
		return requestmemory.Refuse(req, code.RequestIDUnissued)
	}
	if id.Single() {
		return requestmemory.Refuse(req, code.MayHaveRun)
	}
	if id.Incarnation() == dk.incarnation {
		return dk.own(ctx, id, req)
	}
	return dk.pass(ctx, id, req)
}

// Run carries out a request that another entry passes to this one as its issuer.
func (dk *Router) Run(ctx context.Context, req *callpb.Request) (*callpb.Answer, error) {
	id, err := requestid.Parse(req.GetId())
	if err != nil || id.Single() || id.Incarnation() != dk.incarnation {
		return requestmemory.Refuse(req, code.IssuerGone), nil
	}
	return dk.own(ctx, id, req), nil
}

// Remembered returns how many ids the entry remembers.
func (dk *Router) Remembered() int { return dk.mm.Len() }

// Fingerprint tells whether two requests under one id are the same.
func Fingerprint(req *callpb.Request) uint64 {
	dg := xxhash.New()
	for _, part := range []string{req.GetTeam(), req.GetService(), req.GetMethod(), req.GetPath()} {
		_, _ = dg.WriteString(part)
		_, _ = dg.Write([]byte{0})
	}
	_, _ = dg.Write(req.GetBody())
	return dg.Sum64()
}

func (dk *Router) next(single bool) string {
	return requestid.New(dk.incarnation, dk.ck.Now(), dk.seq.Add(1), single).String()
}

// own runs an id that this entry issued; a caller that leaves while its request waits ends it as not run, also for a repeat that joined.
func (dk *Router) own(ctx context.Context, id requestid.ID, req *callpb.Request) *callpb.Answer {
	if id.Seq() > dk.seq.Load() {
		return requestmemory.Refuse(req, code.RequestIDUnissued)
	}
	return dk.mm.Do(ctx, id, req, Fingerprint(req), func() *callpb.Answer { return dk.run(ctx, req) })
}

// pass sends the request to its issuer, the only entry that may run it; whatever goes wrong on the way, an earlier copy may have run there.
func (dk *Router) pass(ctx context.Context, id requestid.ID, req *callpb.Request) *callpb.Answer {
	now := dk.ck.Now()
	if id.IssuedMS() > now+clockSkewMS {
		return requestmemory.Refuse(req, code.RequestIDUnissued)
	}
	if now-id.IssuedMS() > lease.OutwaitMS(dk.keepMS())+clockSkewMS {
		return requestmemory.Refuse(req, code.RequestIDExpired)
	}
	ctx, cancel := dk.ck.WithTimeout(ctx, req.GetLeftMs())
	defer cancel()
	ans, err := dk.forward(ctx, id.Incarnation(), req)
	if err != nil {
		return requestmemory.Refuse(req, code.IssuerGone)
	}
	return ans
}
