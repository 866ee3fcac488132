package jobcontrol_test

import (
	"fmt"
	"maps"
	"math/rand/v2"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	evacuatedZone faultKind = "evacuated-zone"
	cordonedVM    faultKind = "cordoned-vm"
	drainingVM    faultKind = "draining-vm"
	releasedVM    faultKind = "released-vm"
	failingVM     faultKind = "failing-vm"
	loweredCap    faultKind = "lowered-cap"
	latePolls     faultKind = "late-polls"
)

var operatorKinds = []faultKind{evacuatedZone, cordonedVM, drainingVM, releasedVM, failingVM, loweredCap, latePolls}

// maxSlowPercent is by how much the clocks of VMs run slow at most.
const maxSlowPercent = 2

// drawOperatorFaults draws what operators and grey VMs do, apart from the draws of the plan, which stay the same.
func (pl *historyPlan) drawOperatorFaults() {
	rg := rand.New(rand.NewPCG(pl.seed, ^pl.seed))
	for range rg.IntN(maxHistoryFaults / 2) {
		pl.faults = append(pl.faults, fault{
			kind: operatorKinds[rg.IntN(len(operatorKinds))], atMS: rg.Int64N(faultSpanMS), forMS: 20 + rg.Int64N(maxFaultMS),
			target: rg.IntN(maxHistoryVMs), share: 10 + rg.Int64N(90),
		})
	}
	for at, vm := range pl.vms {
		vm.Zone = fmt.Sprintf("z%d", at%2)
	}
}

// beginOperatorFault starts a fault of the operators, or of a VM that fails all that it runs.
func (hs *history) beginOperatorFault(ft fault) {
	switch ft.kind {
	case evacuatedZone:
		hs.setEvacuated(fmt.Sprintf("z%d", ft.target%2), ft.forMS)
	case loweredCap:
		hs.setCap(hs.pl.capCPU / 2)
		hs.after(ft.forMS, func() { hs.setCap(hs.pl.capCPU) })
	case cordonedVM, drainingVM, releasedVM, failingVM:
		if ht := hs.hosts[ft.target%len(hs.hosts)]; !ht.gone && !ht.down {
			hs.setAside(ht, ft)
		}
	}
}

func (hs *history) setEvacuated(zone string, forMS int64) {
	hs.evacuated[zone] = true
	hs.after(forMS, func() { delete(hs.evacuated, zone) })
}

func (hs *history) setCap(cpuMilli int64) {
	hs.capCPU = cpuMilli
	hs.toOwner(hs.draw(100, "cap", hs.ck.Now()), func() { hs.ct.SetRules(rulesindex.New(hs.rules())) })
}

func (hs *history) setAside(ht *host, ft fault) {
	id := ht.vm.GetId()
	switch ft.kind {
	case cordonedVM:
		hs.toOwner(0, func() { hs.ct.Cordon(id, true) })
		hs.toOwner(ft.forMS, func() { hs.ct.Cordon(id, false) })
	case releasedVM:
		hs.toOwner(0, func() { hs.ct.ReleaseVM(id) })
		hs.toOwner(ft.forMS, func() { hs.ct.KeepVM(id) })
	case drainingVM:
		hs.setDraining(ht, true)
		hs.after(ft.forMS, func() { hs.setDraining(ht, false) })
	case failingVM:
		ht.failing = true
		hs.after(ft.forMS, func() { ht.failing = false })
	}
}

func (hs *history) setDraining(ht *host, draining bool) {
	ht.vm.Draining = draining
	if hs.registry[ht.vm.GetId()] != nil && !ht.down {
		hs.register(ht)
	}
}

// applyEvacuations tells the owner which zones are evacuated, as it reads them in each of its rounds.
func (hs *history) applyEvacuations() {
	hs.evacuatedKnown = maps.Clone(hs.evacuated)
	hs.ct.SetEvacuatedZones(hs.evacuatedKnown)
}

// checkEvacuated checks that no start is ordered in a zone that the owner knows to be evacuated.
func (hs *history) checkEvacuated(od *workpb.Order) {
	if od.GetVerb() == workpb.Verb_START && hs.evacuatedKnown[od.GetZone()] {
		hs.report("evacuated", "%s run %d is ordered on %s in zone %s", od.GetTask(), od.GetRun(), od.GetVm(), od.GetZone())
	}
}

// latePoll executes a poll late and reports whether it does.
func (hs *history) latePoll(lr *workpb.LookRequest, call int64) bool {
	if !hs.hits(latePolls, call) {
		return false
	}
	hs.after(minLateMS+hs.draw(maxLateMS-minLateMS, "late-poll", call), func() { hs.executePoll(lr) })
	return true
}

// forgetEnded lets the owner forget jobs that have ended, some time after.
func (hs *history) forgetEnded() {
	for _, id := range hs.ct.Ended() {
		hs.toOwner(hs.draw(maxLateMS, "forgotten", id), func() { hs.forget(id) })
	}
}

func (hs *history) forget(id string) {
	if hs.final(id) && hs.ct.Forget(id) {
		hs.forgotten[id] = hs.stored.state(id)
		delete(hs.stored, id)
	}
}
