package admission

import (
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Admission holds the rules in force; it is safe for concurrent use.
type Admission struct {
	ck       *clock.Clock
	maxAgeMS int64
	rules    atomic.Pointer[rulesindex.Index]
	provenMS atomic.Int64
}

// AdmittedCall is what was found out about an admitted call.
type AdmittedCall struct {
	queue *workpb.Queue
	rest  string
	team  string
}

// reactionMS is how much sooner than a withdrawal has to be in force keyed calls are refused without proof of freshness.
const reactionMS = 700

// New returns an admission without rules; withdrawalMS is how soon a withdrawn key must be refused.
func New(ck *clock.Clock, withdrawalMS int64) *Admission {
	return &Admission{ck: ck, maxAgeMS: withdrawalMS - reactionMS}
}

// SetRules takes up rules unless their version is older than the one in force, and reports whether it did.
func (ad *Admission) SetRules(ix *rulesindex.Index) bool {
	if old := ad.rules.Load(); old != nil && old.Rules().GetVersion() >= ix.Rules().GetVersion() {
		return false
	}
	ad.rules.Store(ix)
	return true
}

// Rules returns the rules in force, or nil before the first.
func (ad *Admission) Rules() *rulesindex.Index { return ad.rules.Load() }

// ConfirmCurrent records that the rules were the newest ones at a time, which is when a read of them began that was answered since.
func (ad *Admission) ConfirmCurrent(startMS int64) {
	if startMS > ad.provenMS.Load() {
		ad.provenMS.Store(startMS)
	}
}

// AgeMS returns how long ago the rules were surely the newest ones.
func (ad *Admission) AgeMS() int64 { return ad.ck.Now() - ad.provenMS.Load() }

// Admit returns what a call may use, or the code of its refusal.
func (ad *Admission) Admit(host, path, key string) (AdmittedCall, error) {
	ix := ad.rules.Load()
	if ix == nil {
		return AdmittedCall{}, code.KeyedWorkPaused.New("no rules were read yet")
	}
	qu, rest, ok := ix.Find(host, path)
	if !ok {
		return AdmittedCall{}, code.ServiceUnknown.New("no queue at this host and path")
	}
	ps := AdmittedCall{queue: qu, rest: rest}
	if qu.GetPublic() {
		return ps, nil
	}
	if ad.AgeMS() > ad.maxAgeMS {
		return AdmittedCall{}, code.KeyedWorkPaused.New("the rules were last proven %d ms ago", ad.AgeMS())
	}
	if key == "" {
		return AdmittedCall{}, code.KeyMissing.New("the queue needs a key")
	}
	ps.team, ok = ix.Team(key)
	if !ok {
		return AdmittedCall{}, code.KeyUnknown.New("no team has this key")
	}
	return ps, nil
}

// Queue returns the queue of the call.
func (ps AdmittedCall) Queue() *workpb.Queue { return ps.queue }

// PathSuffix returns the path behind the queue's prefix.
func (ps AdmittedCall) PathSuffix() string { return ps.rest }

// Team returns the team of the call's key, empty for a public queue.
func (ps AdmittedCall) Team() string { return ps.team }
