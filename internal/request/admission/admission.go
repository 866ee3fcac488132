package admission

import (
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Admission checks calls against the rules in force; it is safe for concurrent use.
type Admission struct {
	ck            *clock.Clock
	maxRulesAgeMS int64
	rules         atomic.Pointer[rulesindex.Index]
	confirmedMS   atomic.Int64
}

// AdmittedCall holds the queue, path suffix and team of an admitted call.
type AdmittedCall struct {
	queue      *workpb.Queue
	pathSuffix string
	team       string
}

// refusalMarginMS is how long before a withdrawal must be in force keyed calls are refused, unless the rules have been confirmed to be current since.
const refusalMarginMS = 700

// New returns an admission without rules; withdrawalMS is the time within which a withdrawn key must be refused.
func New(ck *clock.Clock, withdrawalMS int64) *Admission {
	return &Admission{ck: ck, maxRulesAgeMS: withdrawalMS - refusalMarginMS}
}

// SetRules puts rules in force if their version is newer than the current one, and reports whether it did.
func (ad *Admission) SetRules(ix *rulesindex.Index) bool {
	if old := ad.rules.Load(); old != nil && old.Rules().GetVersion() >= ix.Rules().GetVersion() {
		return false
	}
	ad.rules.Store(ix)
	return true
}

// Rules returns the rules in force, or nil if none have been set.
func (ad *Admission) Rules() *rulesindex.Index { return ad.rules.Load() }

// ConfirmCurrent records that the rules were the newest ones at startMS, the start time of a read that has been answered.
func (ad *Admission) ConfirmCurrent(startMS int64) {
	if startMS > ad.confirmedMS.Load() {
		ad.confirmedMS.Store(startMS)
	}
}

// AgeMS returns the time since the rules were last confirmed to be the newest ones.
func (ad *Admission) AgeMS() int64 { return ad.ck.Now() - ad.confirmedMS.Load() }

// Admit returns the queue and team of a call, or an error with the code of its refusal.
func (ad *Admission) Admit(host, path, key string) (AdmittedCall, error) {
	ix := ad.rules.Load()
	if ix == nil {
		return AdmittedCall{}, code.KeyedWorkPaused.New("no rules have been read yet")
	}
	qu, suffix, ok := ix.Find(host, path)
	if !ok {
		return AdmittedCall{}, code.ServiceUnknown.New("no queue matches the host and path")
	}
	ac := AdmittedCall{queue: qu, pathSuffix: suffix}
	if qu.GetPublic() {
		return ac, nil
	}
	if ad.AgeMS() > ad.maxRulesAgeMS {
		return AdmittedCall{}, code.KeyedWorkPaused.New("the rules were last confirmed to be current %d ms ago", ad.AgeMS())
	}
	if key == "" {
		return AdmittedCall{}, code.KeyMissing.New("the queue requires a key")
	}
	ac.team, ok = ix.Team(key)
	if !ok {
		return AdmittedCall{}, code.KeyUnknown.New("the key belongs to no team")
	}
	return ac, nil
}

// Queue returns the queue that the call is addressed to.
func (ac AdmittedCall) Queue() *workpb.Queue { return ac.queue }

// PathSuffix returns the part of the path after the queue's prefix.
func (ac AdmittedCall) PathSuffix() string { return ac.pathSuffix }

// Team returns the team of the call's key, empty for a public queue.
func (ac AdmittedCall) Team() string { return ac.team }
