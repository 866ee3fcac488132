package leasevote

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
	"github.com/fulmarloft/fulmarloft/internal/membership/roster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// Voter answers the vouch requests of lease holders, from the newest version and epoch heard of and the promises given; this state isn't persisted, since a restarted process is a new incarnation and counts as another entry.
type Voter struct {
	ck   *clock.Clock
	self string

	mu          sync.Mutex
	rs          *roster.Roster
	vouchFromMS int64
	committed   uint64
	hash        string
	epoch       uint64
	promises    map[string]int64 // time until which a holder may rely on the vote, by incarnation
	bypass      func(version uint64) bool
}

const shortHashLen = 16

// New returns the voter of the entry with the given incarnation, which isn't registered yet.
func New(ck *clock.Clock, self string) *Voter {
	return &Voter{ck: ck, self: self, rs: roster.New(nil), promises: map[string]int64{}}
}

// ObserveCommitted records a committed version, with an empty hash if that isn't known yet; from now on the voter doesn't vouch for older versions.
func (vt *Voter) ObserveCommitted(version uint64, hash string) {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	vt.observeCommitted(version, hash)
}

// ObserveEpoch records that a roster of the epoch exists; from now on the voter doesn't vouch under older rosters.
func (vt *Voter) ObserveEpoch(epoch uint64) {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	vt.epoch = max(vt.epoch, epoch)
}

// SetRoster puts a newer roster in use; an entry that is newly registered in it doesn't vouch until the lease length has passed.
func (vt *Voter) SetRoster(rs *roster.Roster, leaseMS int64) {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	vt.epoch = max(vt.epoch, rs.Epoch())
	if rs.Epoch() < vt.rs.Epoch() {
		return
	}
	if rs.Has(vt.self) && !vt.rs.Has(vt.self) {
		vt.vouchFromMS = vt.ck.Now() + clockdrift.Lengthen(leaseMS)
	}
	vt.rs = rs
}

// Vouch reports whether the holder's version is the newest that this entry knows. If so, it promises the holder the lease length from now: until the promise expires, an acknowledgement of a newer version must account for it, see PromisedMS.
func (vt *Voter) Vouch(req *configpb.VouchRequest) bool {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	vt.epoch = max(vt.epoch, req.GetEpoch())
	vt.observeCommitted(req.GetVersion(), req.GetHash())
	if !vt.canVouch(req) {
		return false
	}
	untilMS := vt.ck.Now() + clockdrift.Lengthen(req.GetLeaseMs())
	vt.promises[req.GetHolder()] = max(vt.promises[req.GetHolder()], untilMS)
	return true
}

// Version returns the newest version heard of.
func (vt *Voter) Version() uint64 {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	return vt.committed
}

// Epoch returns the newest roster epoch heard of.
func (vt *Voter) Epoch() uint64 {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	return vt.epoch
}

// Roster returns the roster in use.
func (vt *Voter) Roster() *roster.Roster {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	return vt.rs
}

// PromisedMS returns the time until the last promise to a holder outside the roster expires, which each acknowledgement of this entry reports; it is 0 if there is none.
func (vt *Voter) PromisedMS() int64 {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	nowMS := vt.ck.Now()
	var maxMS int64
	for holder, untilMS := range vt.promises {
		if untilMS <= nowMS {
			delete(vt.promises, holder)
			continue
		}
		if !vt.rs.Has(holder) {
			maxMS = max(maxMS, untilMS-nowMS)
		}
	}
	return maxMS
}

// SetBypass makes the voter vouch without any check for the versions for which bypass returns true; tests use it to show that they detect a voter that vouches for old versions.
func (vt *Voter) SetBypass(bypass func(version uint64) bool) { vt.bypass = bypass }

// ShortHash returns the prefix of a hash that distinguishes contents of the same version; it keeps vouch requests small.
func ShortHash(hash string) string { return hash[:min(len(hash), shortHashLen)] }

func (vt *Voter) observeCommitted(version uint64, hash string) {
	hash = ShortHash(hash)
	if version > vt.committed || (version == vt.committed && vt.hash == "") {
		vt.committed = version
		vt.hash = hash
	}
}

func (vt *Voter) canVouch(req *configpb.VouchRequest) bool {
	if vt.bypass != nil && vt.bypass(req.GetVersion()) {
		return true
	}
	if !vt.rs.Has(vt.self) || vt.ck.Now() < vt.vouchFromMS {
		return false
	}
	if vt.rs.Epoch() != vt.epoch || req.GetEpoch() != vt.epoch {
		return false
	}
	return req.GetVersion() == vt.committed && ShortHash(req.GetHash()) == vt.hash
}
