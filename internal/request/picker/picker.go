package picker

import (
	"math/rand/v2"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

// Picker reserves slots at the endpoints of one pool. It selects the less loaded of two random endpoints, first in its own zone and then in the others.
type Picker struct {
	mu       sync.Mutex
	ck       *clock.Clock
	zone     string
	rnd      *rand.Rand
	slots    func(vm *platformpb.VM) int
	leaving  func(incarnation string) bool
	onChange func(name string, pairs ...any)
	members  []*member
	byID     map[string]*member
	onFree   []func()
	// missed holds the listeners that found no slot since they were last called.
	missed     map[int]bool
	candidates []*member
	// refreshedMS is when slots and leaving were last called for each member.
	refreshedMS int64
}

// New returns a picker without endpoints; the seed determines its random choices.
func New(ck *clock.Clock, zone string, seed uint64, slots func(vm *platformpb.VM) int, leaving func(incarnation string) bool) *Picker {
	return &Picker{
		ck:          ck,
		zone:        zone,
		rnd:         rand.New(rand.NewPCG(seed, seed)),
		slots:       slots,
		leaving:     leaving,
		onChange:    func(string, ...any) {},
		byID:        map[string]*member{},
		missed:      map[int]bool{},
		refreshedMS: neverMS,
	}
}

// OnFree adds a function that is called when a slot may have become free, and returns its number as a listener; add all functions before use.
func (pk *Picker) OnFree(fn func()) int {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.onFree = append(pk.onFree, fn)
	return len(pk.onFree) - 1
}

// OnChange sets the function that is called for each ejected and each restored endpoint; set it before use.
func (pk *Picker) OnChange(fn func(name string, pairs ...any)) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.onChange = fn
}

// Set replaces the endpoints; one that stays under the same incarnation keeps its load and failure history.
func (pk *Picker) Set(vms []*platformpb.VM) {
	pk.mu.Lock()
	kept := map[string]*member{}
	pk.members = pk.members[:0]
	for _, vm := range vms {
		mb, ok := pk.byID[vm.GetIncarnation()]
		if !ok {
			mb = &member{}
		}
		mb.vm = vm
		kept[vm.GetIncarnation()] = mb
		pk.members = append(pk.members, mb)
	}
	pk.byID = kept
	pk.refreshedMS = neverMS
	pk.mu.Unlock()
	pk.notifyFree()
}

// Pick reserves a slot at an endpoint whose incarnation is not among those to avoid; the reservation ends with Done, RecordRefusal, Release or Cancel.
func (pk *Picker) Pick(avoid ...string) (*platformpb.VM, bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.pick(avoid)
}

// PickFor is like Pick for a listener, which is called when a slot becomes free that another one reserved in vain meanwhile.
func (pk *Picker) PickFor(listener int) (*platformpb.VM, bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	vm, ok := pk.pick(nil)
	if !ok {
		pk.missed[listener] = true
	}
	return vm, ok
}

func (pk *Picker) pick(avoid []string) (*platformpb.VM, bool) {
	now := pk.ck.Now()
	pk.refresh(now)
	mb := pk.choose(now, avoid, true)
	if mb == nil {
		mb = pk.choose(now, avoid, false)
	}
	if mb == nil {
		return nil, false
	}
	mb.running++
	return mb.vm, true
}

// Release returns a reservation without recording a result.
func (pk *Picker) Release(incarnation string) {
	pk.unreserve(incarnation)
	pk.notifyFree()
}

// Cancel returns an unused reservation. It calls only the listeners that found no slot meanwhile, so that one that has nothing to start doesn't wake itself.
func (pk *Picker) Cancel(incarnation string) {
	pk.unreserve(incarnation)
	pk.mu.Lock()
	var missed []func()
	for listener := range pk.missed {
		missed = append(missed, pk.onFree[listener])
	}
	clear(pk.missed)
	pk.mu.Unlock()
	for _, fn := range missed {
		fn()
	}
}

func (pk *Picker) unreserve(incarnation string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if mb, ok := pk.byID[incarnation]; ok {
		mb.running--
	}
}

// Done returns a reservation and records whether the endpoint succeeded; a slot that may still be in use stays reserved until heldUntilMS.
func (pk *Picker) Done(incarnation string, succeeded bool, heldUntilMS int64) {
	now := pk.ck.Now()
	pk.mu.Lock()
	mb, ok := pk.byID[incarnation]
	if !ok {
		pk.mu.Unlock()
		return
	}
	if succeeded {
		pk.recordSuccess(mb)
	} else {
		pk.recordFailure(mb, now)
	}
	if heldUntilMS > now {
		mb.heldSlots++
		pk.mu.Unlock()
		pk.ck.AfterFunc(heldUntilMS-now, func() { pk.releaseHeld(incarnation) })
		return
	}
	mb.running--
	pk.mu.Unlock()
	pk.notifyFree()
}

// RecordRefusal records that the endpoint refused to start a request. A refusal counts as load and not as a failure, because the slots of the endpoint are in use by others. The reservation ends after a pause that grows with each refusal until the endpoint accepts a request.
func (pk *Picker) RecordRefusal(incarnation string) {
	now := pk.ck.Now()
	pk.mu.Lock()
	mb, ok := pk.byID[incarnation]
	if !ok {
		pk.mu.Unlock()
		return
	}
	mb.addPenalty(now, refusalPenalty)
	mb.heldSlots++
	pauseMS := mb.recordRefusal(now)
	pk.mu.Unlock()
	pk.ck.AfterFunc(pauseMS, func() { pk.releaseHeld(incarnation) })
}

// Usable reports whether any endpoint may get requests, now or when a slot becomes free.
func (pk *Picker) Usable() bool {
	now := pk.ck.Now()
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.refresh(now)
	for _, mb := range pk.members {
		if !mb.ejected(now) && !mb.isLeaving {
			return true
		}
	}
	return false
}

// Slots returns how many requests may run at once at the endpoints that are not leaving or ejected.
func (pk *Picker) Slots() int {
	now := pk.ck.Now()
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.refresh(now)
	sum := 0
	for _, mb := range pk.members {
		if mb.ejected(now) || mb.isLeaving {
			continue
		}
		slots := mb.slots
		if mb.trial {
			slots = min(slots, 1)
		}
		sum += max(slots-mb.heldSlots, 0)
	}
	return sum
}

// Ejected returns how many endpoints are ejected or on trial after an ejection.
func (pk *Picker) Ejected() int {
	now := pk.ck.Now()
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.countEjected(now)
}

// Running returns the number of reserved slots of an endpoint.
func (pk *Picker) Running(incarnation string) int {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if mb, ok := pk.byID[incarnation]; ok {
		return mb.running
	}
	return 0
}

func (pk *Picker) releaseHeld(incarnation string) {
	pk.mu.Lock()
	if mb, ok := pk.byID[incarnation]; ok {
		mb.running--
		mb.heldSlots--
	}
	pk.mu.Unlock()
	pk.notifyFree()
}

func (pk *Picker) notifyFree() {
	pk.mu.Lock()
	clear(pk.missed)
	pk.mu.Unlock()
	for _, fn := range pk.onFree {
		fn()
	}
}

func (pk *Picker) choose(now int64, avoid []string, sameZone bool) *member {
	pk.candidates = pk.candidates[:0]
	for _, mb := range pk.members {
		if (mb.vm.GetZone() == pk.zone) == sameZone && pk.eligible(mb, now, avoid) {
			pk.candidates = append(pk.candidates, mb)
		}
	}
	switch len(pk.candidates) {
	case 0:
		return nil
	case 1:
		return pk.candidates[0]
	}
	first := pk.rnd.IntN(len(pk.candidates))
	second := pk.rnd.IntN(len(pk.candidates) - 1)
	if second >= first {
		second++
	}
	one, two := pk.candidates[first], pk.candidates[second]
	if pk.load(two, now) < pk.load(one, now) {
		return two
	}
	return one
}

// eligible reports whether the endpoint may get a request now. An endpoint of another zone may not while its penalty is maxRemotePenalty or more.
func (pk *Picker) eligible(mb *member, now int64, avoid []string) bool {
	for _, inc := range avoid {
		if inc == mb.vm.GetIncarnation() {
			return false
		}
	}
	if mb.isLeaving || mb.ejected(now) || (mb.trial && mb.running > 0) {
		return false
	}
	if mb.vm.GetZone() != pk.zone && mb.penalty(now) >= maxRemotePenalty {
		return false
	}
	return mb.running < mb.slots
}

// refresh calls slots and leaving for all members, but at most once per refreshIntervalMS, because both values are needed for each request and endpoint.
func (pk *Picker) refresh(now int64) {
	if now-pk.refreshedMS < refreshIntervalMS {
		return
	}
	pk.refreshedMS = now
	for _, mb := range pk.members {
		mb.slots = pk.slots(mb.vm)
		mb.isLeaving = mb.vm.GetLeaving() || pk.leaving(mb.vm.GetIncarnation())
	}
}

func (pk *Picker) load(mb *member, now int64) float64 {
	return (float64(mb.running) + mb.penalty(now)) / float64(max(mb.slots, 1))
}

func (pk *Picker) recordSuccess(mb *member) {
	mb.failures = 0
	mb.refusals, mb.pausedUntilMS = 0, 0
	if !mb.trial {
		return
	}
	mb.passedTrials++
	if mb.passedTrials < trialsToRestore {
		return
	}
	mb.trial = false
	mb.ejections = 0
	pk.onChange("endpoint-restored", "vm", mb.vm.GetName(), "incarnation", mb.vm.GetIncarnation())
}

// recordFailure adds the failure to the load and ejects the endpoint after several failures in a row, unless too many endpoints are ejected. A failed trial ejects it again at once.
func (pk *Picker) recordFailure(mb *member, now int64) {
	mb.addPenalty(now, failurePenalty)
	mb.failures++
	if mb.ejected(now) || (!mb.trial && mb.failures < failuresToEject) {
		return
	}
	if !mb.trial && (pk.countEjected(now)+1)*wholePercent > len(pk.members)*maxEjectedPercent {
		return
	}
	mb.eject(now)
	pk.onChange("endpoint-ejected", "vm", mb.vm.GetName(), "incarnation", mb.vm.GetIncarnation(), "failures", mb.failures, "until-ms", mb.ejectedUntilMS)
	pk.ck.AfterFunc(mb.ejectedUntilMS-now, pk.notifyFree)
}

func (pk *Picker) countEjected(now int64) int {
	cnt := 0
	for _, mb := range pk.members {
		if mb.trial || mb.ejected(now) {
			cnt++
		}
	}
	return cnt
}
