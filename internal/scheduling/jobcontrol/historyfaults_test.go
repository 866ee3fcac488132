package jobcontrol_test

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// maxRegistryDelayMS is how late a VM's registration follows its state, maxFeedDelayMS how late the owner hears of it.
	maxRegistryDelayMS = 600
	maxFeedDelayMS     = 200
	maxListDelayMS     = 300
	maxStaleListMS     = 1500
)

// begin starts a fault; faults that are a share of the calls act where the calls are made.
func (hs *history) begin(ft fault) {
	switch ft.kind {
	case newOwner:
		hs.replaceOwner(ft)
	case cancelledJob, repeatedJob:
		hs.disturbJob(ft)
	case changedQueue:
		hs.changeQueue()
	case restartUnderWay:
		hs.restarts = append(hs.restarts, ft)
	case silentVM, restartedVM, changedVM, replacedVM, leavingVM, unregisteredVM:
		if ht := hs.hosts[ft.target%len(hs.hosts)]; !ht.gone && !ht.down {
			hs.disturbVM(ht, ft)
		}
	default:
		hs.beginOperatorFault(ft)
	}
}

func (hs *history) replaceOwner(ft fault) {
	if hs.ct == nil {
		return
	}
	hs.ct = nil
	hs.after(min(ft.forMS, 2000), hs.startOwner)
}

func (hs *history) disturbJob(ft fault) {
	id := fmt.Sprintf("j%d", ft.target)
	row, ok := hs.jobs[id]
	if !ok {
		return
	}
	if ft.kind == repeatedJob {
		hs.toOwner(maxFeedDelayMS, func() {
			if _, forgotten := hs.forgotten[id]; !forgotten {
				hs.ct.Submit(row)
			}
		})
		return
	}
	hs.cancelled[id] = true
	hs.toOwner(maxFeedDelayMS, func() {
		hs.ct.Cancel(id)
		hs.cancelKnown[id] = hs.ck.Now()
	})
}

func (hs *history) changeQueue() {
	hs.service = map[string]string{"s": "u", "u": "s"}[hs.service]
	hs.services[hs.service] = true
	hs.toOwner(hs.draw(100, "rules", hs.ck.Now()), func() { hs.ct.SetRules(rulesindex.New(hs.rules())) })
}

func (hs *history) disturbVM(ht *host, ft fault) {
	switch ft.kind {
	case silentVM:
		ht.cut = true
		hs.after(ft.forMS, func() { ht.cut = false })
	case restartedVM, changedVM:
		hs.stopHost(ht)
		hs.after(ft.forMS%2000, func() { hs.startHost(ht, ft) })
	case replacedVM:
		hs.endHost(ht)
		hs.after(ft.forMS%2000, func() { hs.replaceHost(ht, ft) })
	case leavingVM:
		hs.endHost(ht)
		hs.after(ft.forMS, func() {
			hs.addHost(&workpb.VM{
				Id: fmt.Sprintf("v%d", len(hs.hosts)), Service: hs.service, Address: fmt.Sprintf("at-new-%d", len(hs.hosts)), Machine: fmt.Sprintf("m-new-%d", len(hs.hosts)),
				Zone: "z", CpuMilli: 8000, MemoryMb: 8000, Labels: []string{"a", "b"}, Rack: "r1",
			})
		})
	case unregisteredVM:
		hs.unregister(ht)
		hs.after(ft.forMS, func() {
			if !ht.down && !ht.gone {
				hs.register(ht)
			}
		})
	}
}

// stopHost ends everything on a VM, which may start again under its id.
func (hs *history) stopHost(ht *host) {
	ht.wk.Restart()
	ht.down = true
	ht.incarnation++
	hs.forgetEnds(ht)
}

func (hs *history) startHost(ht *host, ft fault) {
	if ht.gone {
		return
	}
	ht.wk.Restart()
	ht.down = false
	if ft.kind == changedVM {
		ht.vm.Labels = []string{"c"}
		ht.vm.CpuMilli = 4000 + 2000*(ft.share%4)
		if ft.share%3 == 0 {
			ht.vm.Service = "u"
		}
	}
	hs.after(hs.draw(maxRegistryDelayMS, "registry", ht.vm.GetId(), ht.incarnation), func() { hs.register(ht) })
}

// endHost ends a VM for good.
func (hs *history) endHost(ht *host) {
	hs.stopHost(ht)
	ht.gone = true
	hs.after(hs.draw(maxRegistryDelayMS, "unregistered", ht.vm.GetId()), func() { hs.unregister(ht) })
}

// replaceHost starts another VM on a VM's machine, at its address or at another one.
func (hs *history) replaceHost(ht *host, ft fault) {
	vm := proto.Clone(ht.vm).(*workpb.VM)
	vm.Id = fmt.Sprintf("v%d", len(hs.hosts))
	vm.Draining = false
	if ft.share%3 == 0 {
		vm.Address = "at-" + vm.Id
	}
	if ft.share%2 == 0 {
		vm.Service = "u"
	}
	hs.addHost(vm)
}

func (hs *history) register(ht *host) {
	id := ht.vm.GetId()
	hs.registry[id] = proto.Clone(ht.vm).(*workpb.VM)
	hs.toOwner(hs.draw(maxFeedDelayMS, "feed", id, hs.ck.Now()), func() { hs.applyRegistration(id) })
}

func (hs *history) unregister(ht *host) {
	id := ht.vm.GetId()
	delete(hs.registry, id)
	hs.toOwner(hs.draw(maxFeedDelayMS, "feed", id, hs.ck.Now()), func() { hs.applyRegistration(id) })
}

// applyRegistration tells the owner what the registry holds of a VM.
func (hs *history) applyRegistration(id string) {
	vm, ok := hs.registry[id]
	if !ok {
		hs.ct.DropVM(id)
		return
	}
	hs.ct.SetVM(proto.Clone(vm).(*workpb.VM))
	hs.noteKnown(id, vm.GetBornMs())
}

// noteKnown records that the owner has heard of an incarnation of a VM.
func (hs *history) noteKnown(id string, bornMS int64) {
	if ht := hs.hostOf(id); ht != nil && ht.vm.GetBornMs() == bornMS {
		ht.knownIncarnation = ht.incarnation
	}
}

func (hs *history) hostOf(id string) *host {
	for _, ht := range hs.hosts {
		if ht.vm.GetId() == id {
			return ht
		}
	}
	return nil
}

// readMachines reads the list of machines at intervals; it shows a moment between the start of the read and its answer.
func (hs *history) readMachines() {
	nowMS := hs.ck.Now()
	if nowMS < hs.nextListMS {
		return
	}
	hs.nextListMS = nowMS + listIntervalMS
	limit := int64(maxListDelayMS)
	if hs.active(staleLists) > 0 {
		limit = maxStaleListMS
	}
	shownMS, answeredMS := hs.draw(limit, "shown", nowMS), hs.draw(limit, "answered", nowMS)
	owner := hs.owner
	hs.after(shownMS, func() {
		list := hs.machines()
		hs.after(answeredMS, func() {
			if hs.ct != nil && hs.owner == owner {
				hs.ct.SetMachines(nowMS, list)
			}
		})
	})
}

func (hs *history) machines() []*workpb.Machine {
	rows := map[string]*workpb.Machine{"m-other": {Id: "m-other", Vm: "other", Up: true}}
	for _, ht := range hs.hosts {
		id := ht.vm.GetMachine()
		switch {
		case !ht.down && !ht.gone:
			rows[id] = &workpb.Machine{Id: id, Vm: ht.vm.GetId(), Up: true}
		case ht.down && !ht.gone && rows[id] == nil:
			rows[id] = &workpb.Machine{Id: id, Down: true}
		}
	}
	var out []*workpb.Machine
	for _, id := range sortedKeys(rows) {
		out = append(out, rows[id])
	}
	return out
}
