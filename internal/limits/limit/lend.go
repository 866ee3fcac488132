package limit

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	reservePeriodMS = 1000
	maxReserve      = 4
)

// Lend answers another entry's requests for loans; it stops using the units that it lends before it replies.
func (hd *Holder) Lend(_ context.Context, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	if req.GetLender() != hd.incarnation || req.GetKind() != hd.kind {
		return nil, code.PeerUnreachable.New("the request is for %q limits of entry %s, this is entry %s with %q limits", req.GetKind(), req.GetLender(), hd.incarnation, hd.kind)
	}
	rep := &limitpb.LendReply{}
	for _, ask := range req.GetAsks() {
		rep.Grants = append(rep.Grants, hd.grant(req.GetBorrower(), ask))
	}
	return rep, nil
}

// Return takes units of loans back; it is idempotent and ignores unknown loans.
func (hd *Holder) Return(_ context.Context, req *limitpb.ReturnRequest) (*limitpb.ReturnReply, error) {
	if req.GetLender() != hd.incarnation || req.GetKind() != hd.kind {
		return nil, code.PeerUnreachable.New("the request is for %q limits of entry %s, this is entry %s with %q limits", req.GetKind(), req.GetLender(), hd.incarnation, hd.kind)
	}
	for _, kp := range req.GetKeeps() {
		if tl := hd.limitOf(kp.GetTeam()); tl != nil {
			tl.applyReturn(kp.GetLoan(), kp.GetUnits())
		}
	}
	return &limitpb.ReturnReply{}, nil
}

func (hd *Holder) grant(borrower string, ask *limitpb.Ask) *limitpb.Grant {
	refused := &limitpb.Grant{Loan: ask.GetLoan()}
	tl := hd.limitOf(ask.GetTeam())
	if tl == nil {
		return refused
	}
	loanMS, maxRunMS, draining := hd.timing()
	maxRunMS = max(maxRunMS, ask.GetLongestRunMs())
	now := hd.ck.Now()
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.expire(now)
	if draining || ask.GetLimit() != tl.limit || loanMS+maxRunMS > tl.holdMS {
		return refused
	}
	ln := tl.out[ask.GetLoan()]
	switch {
	case ln != nil && !tl.mayExtend(ask, now), ln == nil && ask.GetExtend():
		return refused
	case ln != nil:
		ln.extensions++
		ln.units = min(ln.units, ask.GetUnits())
	default:
		units := tl.unitsToLend(ask, now)
		if units <= 0 {
			return refused
		}
		ln = &loanOut{units: units, borrower: borrower, sinceMS: now}
		if hd.disabledRule != "stop-before-lending" {
			tl.out[ask.GetLoan()] = ln
		}
	}
	ln.expiryMS = max(ln.expiryMS, now+hd.expiryWaitMS(loanMS, maxRunMS))
	return &limitpb.Grant{Loan: ask.GetLoan(), Units: ln.units, LengthMs: loanMS, LongestRunMs: maxRunMS}
}

// expiryWaitMS returns how long after the reply all work that the borrower admits under a loan has certainly ended.
func (hd *Holder) expiryWaitMS(loanMS, maxRunMS int64) int64 {
	if hd.disabledRule == "credit-longest-run" {
		return lease.ExpiredAfterMS(loanMS)
	}
	return lease.ExpiredAfterMS(loanMS) + lease.ExpiredAfterMS(maxRunMS)
}

// mayExtend reports whether a loan may be extended; it refuses only while this entry is starved and holds fewer units than the borrower does without the loan.
func (tl *teamLimit) mayExtend(ask *limitpb.Ask, now int64) bool {
	return !tl.starved(now) || tl.holding() >= ask.GetHolding()
}

// unitsToLend returns how many units to lend: spare ones, or else idle ones up to half the difference between what both entries hold; when none is idle, it reserves the next units that become free for the borrower's next request.
func (tl *teamLimit) unitsToLend(ask *limitpb.Ask, now int64) int64 {
	if units := min(ask.GetUnits(), tl.spare(now)); units > 0 {
		return units
	}
	halfDifference := (tl.holding() - ask.GetHolding()) / 2
	if halfDifference <= 0 {
		return 0
	}
	if units := min(ask.GetUnits(), halfDifference, tl.idle()); units > 0 {
		return units
	}
	tl.reserve = min(ask.GetUnits(), halfDifference, maxReserve)
	tl.reserveEndMS = now + reservePeriodMS
	return 0
}

func (tl *teamLimit) applyReturn(id string, keep int64) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	ln := tl.out[id]
	if ln == nil {
		return
	}
	ln.units = min(ln.units, keep)
	if ln.units <= 0 {
		delete(tl.out, id)
	}
}
