package platform

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

const (
	stateDone    = "done"
	stateRunning = "running"
	stateUnknown = "unknown"
)

// fleet simulates the platform's VMs. Its list is answered from snapshots, so that it lags.
type fleet struct {
	ck               *clock.Clock
	lagMS            int64
	rebootMS         int64
	mu               sync.Mutex
	vms              map[string]*platformpb.VM
	gone             []string
	snapshots        []*platformpb.VMList
	actionStates     map[string]string
	rebootCount      int
	droppedSnapshots int
	rebootFn         func(vm *platformpb.VM)
}

func newFleet(ck *clock.Clock, lagMS, rebootMS int64) *fleet {
	return &fleet{ck: ck, lagMS: lagMS, rebootMS: rebootMS, vms: map[string]*platformpb.VM{}, actionStates: map[string]string{}}
}

func (fl *fleet) onReboot(fn func(vm *platformpb.VM)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rebootFn = fn
}

func (fl *fleet) reboots() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rebootCount
}

func (fl *fleet) put(vms ...*platformpb.VM) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, vm := range vms {
		if old, ok := fl.vms[vm.GetName()]; ok && old.GetIncarnation() != vm.GetIncarnation() {
			fl.gone = append(fl.gone, old.GetIncarnation())
		}
		fl.vms[vm.GetName()] = proto.CloneOf(vm)
	}
	fl.takeSnapshot()
}

func (fl *fleet) remove(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if old, ok := fl.vms[name]; ok {
		fl.gone = append(fl.gone, old.GetIncarnation())
		delete(fl.vms, name)
		fl.takeSnapshot()
	}
}

// list returns the newest snapshot that is at least as old as the lag, its ETag and the time that it describes.
func (fl *fleet) list() (*platformpb.VMList, string, int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.ck.Now()
	best := 0
	for i, snap := range fl.snapshots {
		if snap.GetAsOfMs() <= now-fl.lagMS {
			best = i
		}
	}
	if len(fl.snapshots) == 0 || fl.snapshots[best].GetAsOfMs() > now-fl.lagMS {
		return &platformpb.VMList{}, `"none"`, now - fl.lagMS
	}
	fl.snapshots = fl.snapshots[best:]
	fl.droppedSnapshots += best
	return &platformpb.VMList{Vms: fl.snapshots[0].GetVms(), Gone: fl.snapshots[0].GetGone()}, fmt.Sprintf("%q", strconv.Itoa(fl.droppedSnapshots)), now - fl.lagMS
}

// act starts an action and returns its state; repeating an operation id returns the state of the first action.
func (fl *fleet) act(req *platformpb.VMAction) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if state, ok := fl.actionStates[req.GetOperation()]; ok {
		return state
	}
	vm, ok := fl.vms[req.GetVm()]
	if !ok || vm.GetIncarnation() != req.GetIncarnation() {
		return stateUnknown
	}
	switch req.GetVerb() {
	case "drain":
		fl.setLeaving(req, vm, true)
	case "undrain":
		fl.setLeaving(req, vm, false)
	case "reboot":
		fl.actionStates[req.GetOperation()] = stateRunning
		op, name := req.GetOperation(), req.GetVm()
		fl.ck.AfterFunc(fl.rebootMS, func() { fl.finishReboot(op, name) })
	default:
		return stateUnknown
	}
	return fl.actionStates[req.GetOperation()]
}

func (fl *fleet) setLeaving(req *platformpb.VMAction, vm *platformpb.VM, leaving bool) {
	vm.Leaving = leaving
	fl.actionStates[req.GetOperation()] = stateDone
	fl.takeSnapshot()
}

// finishReboot ends a reboot: the VM gets a new incarnation and is no longer leaving.
func (fl *fleet) finishReboot(op, name string) {
	fl.mu.Lock()
	vm, ok := fl.vms[name]
	if !ok {
		fl.mu.Unlock()
		return
	}
	fl.rebootCount++
	fl.gone = append(fl.gone, vm.GetIncarnation())
	vm.Incarnation = fmt.Sprintf("%s-boot-%d", name, fl.rebootCount)
	vm.Leaving = false
	fl.actionStates[op] = stateDone
	fl.takeSnapshot()
	fn, arg := fl.rebootFn, proto.CloneOf(vm)
	fl.mu.Unlock()
	if fn != nil {
		fn(arg)
	}
}

func (fl *fleet) takeSnapshot() {
	snap := &platformpb.VMList{AsOfMs: fl.ck.Now(), Gone: slices.Clone(fl.gone)}
	for _, name := range slices.Sorted(maps.Keys(fl.vms)) {
		snap.Vms = append(snap.Vms, proto.CloneOf(fl.vms[name]))
	}
	fl.snapshots = append(fl.snapshots, snap)
}
