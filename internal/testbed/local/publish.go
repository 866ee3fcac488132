package local

import (
	"context"
	"net/http"
	"strconv"

	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// Publish changes the bundle that the entry holds, numbers it as the next version, signs it and publishes it at that entry. It returns the version and the code of the response.
func (fl *Fleet) Publish(ctx context.Context, en *entry.Entry, operation string, change func(*bundle.Bundle) (*bundle.Bundle, error)) (uint64, code.Code, error) {
	next, err := change(en.Bundle())
	if err != nil {
		return 0, code.Of(err), err
	}
	if next, err = next.WithVersion(en.Bundle().Version() + 1); err != nil {
		return 0, code.Of(err), err
	}
	raw, err := next.Bytes()
	if err != nil {
		return 0, code.Of(err), err
	}
	cd, err := fl.postBundle(ctx, en, operation, raw, signoff.New(operatorName, fl.signer, next.Hash()).String())
	return next.Version(), cd, err
}

// WithdrawKey publishes a bundle in which the first key of a team is withdrawn.
func (fl *Fleet) WithdrawKey(ctx context.Context, en *entry.Entry, operation, team string) (uint64, code.Code, error) {
	return fl.Publish(ctx, en, operation, func(bd *bundle.Bundle) (*bundle.Bundle, error) { return bd.WithoutKey(team + firstKeySuffix) })
}

// Accepted returns the newest version that the entry reports as accepted.
func (fl *Fleet) Accepted(ctx context.Context, en *entry.Entry) (uint64, error) {
	st, err := fl.bundleStatus(ctx, en)
	return st.Accepted, err
}

// Settled reports whether the entry lists as many registered entries as are running and has no unsettled roster, whose majority could still confirm a lease.
func (fl *Fleet) Settled(ctx context.Context, en *entry.Entry) bool {
	st, err := fl.bundleStatus(ctx, en)
	return err == nil && st.Unsettled == 0 && len(st.Entries) == len(fl.Entries())
}

type bundleStatus struct {
	Accepted  uint64     `json:"accepted"`
	Unsettled int        `json:"unsettled_rosters"`
	Entries   []struct{} `json:"entries"`
}

func (fl *Fleet) bundleStatus(ctx context.Context, en *entry.Entry) (bundleStatus, error) {
	var st bundleStatus
	rq, err := fl.operatorRequest(ctx, en, http.MethodGet, "/v1/bundle/status", "status", nil)
	if err != nil {
		return st, err
	}
	rq.Header.Set("Accept", "application/json")
	return st, fl.doJSON(rq, &st)
}

// postBundle publishes a signed bundle at an entry and returns the code in the header of the response.
func (fl *Fleet) postBundle(ctx context.Context, en *entry.Entry, operation string, raw []byte, signOff string) (code.Code, error) {
	rq, err := fl.operatorRequest(ctx, en, http.MethodPost, "/v1/bundle", operation, raw)
	if err != nil {
		return code.Of(err), err
	}
	rq.Header.Set("fulmarloft-sign-off", signOff)
	res, err := fl.hc.Do(rq)
	if err != nil {
		return code.PeerUnreachable, code.PeerUnreachable.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	num, err := strconv.Atoi(res.Header.Get("fulmarloft-code"))
	if err != nil {
		return code.Internal, code.Internal.New("header fulmarloft-code: %w", err)
	}
	return code.Code(num), nil
}
