package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/forwardpb"
	"github.com/fulmarloft/fulmarloft/internal/leaserow"
	"github.com/fulmarloft/fulmarloft/internal/requestclaim"
	"github.com/fulmarloft/fulmarloft/internal/requestdesk"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	requestIDsPath = "/v1/request-ids"
	claimTickMS    = 1000
	claimSweepMS   = 30_000
	sweepLeaseMS   = 90_000
	sweepLeaseName = "request-sweep"
)

// requestsPart decides which entry runs a request.
type requestsPart struct {
	dk   *requestdesk.Router
	cm   *requestclaim.Claims
	seen map[string]int64
}

func (en *Entry) wireRequests() error {
	rq := &en.requests
	rq.seen = map[string]int64{}
	rq.cm = requestclaim.New(en.ck, en.tab, en.incarnation, en.requestMemoryMS)
	rq.dk = requestdesk.New(en.ck, en.incarnation, en.requestMemoryMS, en.call, en.forward, rq.cm.Do)
	if err := forwardpb.DRPCRegisterForward(en.agree.pr.Mux(), rq.dk); err != nil {
		return code.Internal.Wrap(err)
	}
	en.callers.HandleFunc(requestIDsPath, en.issueRequestIDs).Methods(http.MethodPost)
	sweep := leaserow.New(en.ck, en.tab, sweepLeaseName, en.incarnation, sweepLeaseMS)
	en.every(claimTickMS, "request-claims", func(ctx context.Context) error {
		en.mt.Set(int64(rq.dk.Remembered()), "request", "remembered")
		return rq.cm.DeleteExpired(ctx)
	})
	en.every(claimSweepMS, "request-sweep", func(ctx context.Context) error { return en.sweepClaims(ctx, sweep) })
	return nil
}

// sweepClaims lets one entry at a time delete what processes that are no more have left.
func (en *Entry) sweepClaims(ctx context.Context, sweep *leaserow.Row) error {
	err := sweep.AcquireOrRenew(ctx)
	if code.Of(err) == code.LeaseHeld {
		return nil
	}
	if err != nil {
		return err
	}
	return sweep.Lease().Do(func(uint64) error { return en.requests.cm.DeleteOrphaned(ctx, en.limitGone, en.requests.seen) })
}

func (en *Entry) requestMemoryMS() int64 {
	if bd := en.Bundle(); bd != nil {
		return bd.RequestMemoryMS()
	}
	return 0
}

// forward passes a request to the entry that issued its id.
func (en *Entry) forward(ctx context.Context, incarnation string, req *callpb.Request) (*callpb.Answer, error) {
	for _, mb := range en.agree.ag.Members() {
		if mb.GetIncarnation() == incarnation {
			en.mt.Count(1, "request", "forwarded")
			return forwardpb.NewDRPCForwardClient(en.peerConn(mb.GetPeerAddress())).Run(ctx, req)
		}
	}
	return nil, code.IssuerGone.New("entry %s isn't known", incarnation)
}

// issueRequestIDs answers POST /v1/request-ids?count=n with ids that make a request safe to repeat.
func (en *Entry) issueRequestIDs(wr http.ResponseWriter, rq *http.Request) {
	count := 1
	if text := rq.URL.Query().Get("count"); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil || count < 1 || count > requestdesk.MaxIssued {
			http.Error(wr, code.HeaderMalformed.String(), code.HeaderMalformed.Status())
			return
		}
	}
	if en.path.closing() {
		http.Error(wr, code.Draining.String(), code.Draining.Status())
		return
	}
	wr.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(wr).Encode(map[string]any{
		"request-ids": en.requests.dk.Issue(count), "memory-ms": en.requestMemoryMS(),
	})
}
