package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorapi"
	"github.com/fulmarloft/fulmarloft/internal/membership/leaserow"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/forwardpb"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
	"github.com/fulmarloft/fulmarloft/internal/request/idempotencykey"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/internal/request/requestrouter"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	requestIDsPath       = "/v1/request-ids"
	claimTickIntervalMS  = 1000
	claimSweepIntervalMS = 30_000
	sweepLeaseMS         = 90_000
	sweepLeaseName       = "request-sweep"
)

// requestsPart determines which entry runs a request, so that repeats sent to other entries don't run it again.
type requestsPart struct {
	rt *requestrouter.Router
	cm *idempotencykey.Claims
	// goneSinceMS holds when sweeps first saw that the owner of a claim had ended, by key of the claim.
	goneSinceMS map[string]int64
}

func (en *Entry) wireRequests() error {
	rq := &en.requests
	rq.goneSinceMS = map[string]int64{}
	rq.cm = idempotencykey.New(en.ck, en.tab, en.incarnation, en.requestMemoryMS)
	rq.cm.SetLog(en.lg)
	rq.rt = requestrouter.New(en.ck, en.incarnation, en.requestMemoryMS, en.call, en.forward, rq.cm.Do)
	if err := forwardpb.DRPCRegisterForward(en.cluster.pr.Mux(), rq.rt); err != nil {
		return code.Internal.Wrap(err)
	}
	en.callers.HandleFunc(requestIDsPath, en.issueRequestIDs).Methods(http.MethodPost)
	sweep := leaserow.New(en.ck, en.tab, sweepLeaseName, en.incarnation, sweepLeaseMS)
	en.every(claimTickIntervalMS, "request-claims", func(ctx context.Context) error {
		en.mt.Set(int64(rq.rt.Remembered()), "request", "remembered")
		return rq.cm.Tick(ctx)
	})
	en.every(claimSweepIntervalMS, "request-sweep", func(ctx context.Context) error { return en.sweepClaims(ctx, sweep) })
	return nil
}

// sweepClaims deletes the claims of processes that have ended; a lease allows only one entry at a time to do so.
func (en *Entry) sweepClaims(ctx context.Context, sweep *leaserow.Row) error {
	err := sweep.AcquireOrRenew(ctx)
	if code.Of(err) == code.LeaseHeld {
		return nil
	}
	if err != nil {
		return err
	}
	return sweep.Lease().Do(func(uint64) error { return en.requests.cm.DeleteOrphaned(ctx, en.processGone, en.requests.goneSinceMS) })
}

// requestMemoryMS returns how long request ids and claims are remembered.
func (en *Entry) requestMemoryMS() int64 {
	if bd := en.Bundle(); bd != nil {
		return bd.RequestMemoryMS()
	}
	return 0
}

// forward sends a request to the entry that issued its id and returns that entry's answer.
func (en *Entry) forward(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error) {
	for _, mb := range en.cluster.ag.Members() {
		if mb.GetIncarnation() == incarnation {
			en.mt.Count(1, "request", "forwarded")
			return forwardpb.NewDRPCForwardClient(en.peerConn(mb.GetPeerAddress())).Run(ctx, req)
		}
	}
	return nil, code.IssuerGone.New("issuer %s is not a registered entry", incarnation)
}

// issueRequestIDs handles POST /v1/request-ids?count=n and returns ids with which requests can be repeated safely.
func (en *Entry) issueRequestIDs(wr http.ResponseWriter, rq *http.Request) {
	count := 1
	if text := rq.URL.Query().Get("count"); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil || count < 1 || count > requestrouter.MaxIssued {
			refuseIDs(wr, code.HeaderMalformed)
			return
		}
	}
	if en.dataPath.closing() {
		refuseIDs(wr, drain.Refused())
		return
	}
	wr.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(wr).Encode(map[string]any{
		"request-ids": en.requests.rt.Issue(count), "memory-ms": en.requestMemoryMS(),
	})
}

// refuseIDs answers a refused call for request ids with its code and, if it may be repeated, the time after which.
func refuseIDs(wr http.ResponseWriter, err error) {
	cd := code.Of(err)
	wr.Header().Set(operatorapi.CodeHeader, strconv.Itoa(int(cd)))
	refusal.SetRetryAfter(wr.Header(), refusal.RetryAfterMS(err))
	http.Error(wr, cd.String(), cd.Status())
}
