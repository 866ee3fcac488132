package limit

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	reserveKeepMS = 1000
	reserveMost   = 4
)

// Lend answers another entry's questions for units; units that are lent take no work here from before the answer on.
func (hd *Holder) Lend(_ context.Context, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	if req.GetLender() != hd.incarnation || req.GetKind() != hd.kind {
		return nil, code.PeerUnreachable.New("%s was asked for, this is %s", req.GetLender(), hd.incarnation)
	}
	rep := &limitpb.LendReply{}
	for _, ask := range req.GetAsks() {
		rep.Grants = append(rep.Grants, hd.answer(req.GetBorrower(), ask))
	}
	return rep, nil
}

// Return takes units of loans back; a repeat and a loan that isn't known change nothing.
func (hd *Holder) Return(_ context.Context, req *limitpb.ReturnRequest) (*limitpb.ReturnReply, error) {
	if req.GetLender() != hd.incarnation || req.GetKind() != hd.kind {
		return nil, code.PeerUnreachable.New("%s was asked for, this is %s", req.GetLender(), hd.incarnation)
	}
	for _, kp := range req.GetKeeps() {
		if sh := hd.share(kp.GetTeam()); sh != nil {
			sh.credit(kp.GetLoan(), kp.GetUnits())
		}
	}
	return &limitpb.ReturnReply{}, nil
}

func (hd *Holder) answer(borrower string, ask *limitpb.Ask) *limitpb.Grant {
	refused := &limitpb.Grant{Loan: ask.GetLoan()}
	sh := hd.share(ask.GetTeam())
	if sh == nil {
		return refused
	}
	loanMS, longestMS, leaving := hd.timing()
	longestMS = max(longestMS, ask.GetLongestRunMs())
	now := hd.ck.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sweep(now)
	if leaving || ask.GetLimit() != sh.limit || loanMS+longestMS > sh.holdMS {
		return refused
	}
	ln := sh.out[ask.GetLoan()]
	switch {
	case ln != nil && !sh.extends(ask, now), ln == nil && ask.GetExtend():
		return refused
	case ln != nil:
		ln.extended++
		ln.units = min(ln.units, ask.GetUnits())
	default:
		units := sh.forLoan(ask, now)
		if units <= 0 {
			return refused
		}
		ln = &loanOut{units: units, borrower: borrower, sinceMS: now}
		if hd.skip != "stop-before-lending" {
			sh.out[ask.GetLoan()] = ln
		}
	}
	ln.creditMS = max(ln.creditMS, now+hd.creditAfter(loanMS, longestMS))
	return &limitpb.Grant{Loan: ask.GetLoan(), Units: ln.units, LengthMs: loanMS, LongestRunMs: longestMS}
}

// creditAfter returns how long after the answer all that the borrower admits under a loan has surely ended.
func (hd *Holder) creditAfter(loanMS, longestMS int64) int64 {
	if hd.skip == "credit-longest-run" {
		return lease.ExpiredAfterMS(loanMS)
	}
	return lease.ExpiredAfterMS(loanMS) + lease.ExpiredAfterMS(longestMS)
}

// extends refuses only when this entry lacks units more than the borrower does.
func (sh *share) extends(ask *limitpb.Ask, now int64) bool {
	return !sh.hungry(now) || sh.holding() >= ask.GetHolding()
}

// forLoan returns how many units to lend: spare ones, or idle ones that even out who holds how much; when all are busy it keeps the next ones that end for the borrower's next question.
func (sh *share) forLoan(ask *limitpb.Ask, now int64) int64 {
	if units := min(ask.GetUnits(), sh.spare(now)); units > 0 {
		return units
	}
	even := (sh.holding() - ask.GetHolding()) / 2
	if even <= 0 {
		return 0
	}
	if units := min(ask.GetUnits(), even, sh.idle()); units > 0 {
		return units
	}
	sh.reserve = min(ask.GetUnits(), even, reserveMost)
	sh.reserveMS = now + reserveKeepMS
	return 0
}

func (sh *share) credit(id string, keep int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ln := sh.out[id]
	if ln == nil {
		return
	}
	ln.units = min(ln.units, keep)
	if ln.units <= 0 {
		delete(sh.out, id)
	}
}
