package fleet

import (
	"context"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/machines/budget"
	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/machines/wave"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// MoveVM starts the move of a VM to another pool, or returns an error if its pool's budget is exhausted. No lease is needed: any process may handle the request.
func (fl *Fleet) MoveVM(ctx context.Context, operation, name, target, reason string) (*vm.VM, error) {
	to, err := fl.pool(target)
	if err != nil {
		return nil, err
	}
	return fl.applyOperatorStep(ctx, operation, name, func(inst *vm.VM) (*vm.VM, error) {
		from, err := fl.pool(inst.Pool())
		if err == nil && from.IsWorkerPool() != to.IsWorkerPool() {
			return nil, code.Conflict.New("pools %s and %s hold VMs of different kinds", from.Name(), to.Name())
		}
		return inst.Move(operation, target, reason, fl.ck.Now())
	})
}

// HoldVM drains a VM and keeps it out of service until it is released, or returns an error if its pool's budget is exhausted.
func (fl *Fleet) HoldVM(ctx context.Context, operation, name, reason string) (*vm.VM, error) {
	return fl.applyOperatorStep(ctx, operation, name, func(inst *vm.VM) (*vm.VM, error) {
		return inst.Hold(operation, reason, fl.ck.Now())
	})
}

// ReleaseVM returns a held VM to service.
func (fl *Fleet) ReleaseVM(ctx context.Context, operation, name, reason string) (*vm.VM, error) {
	return fl.applyOperatorStep(ctx, operation, name, func(inst *vm.VM) (*vm.VM, error) {
		return inst.Release(operation, reason, fl.ck.Now())
	})
}

// applyOperatorStep takes a step that an operator requested. It is idempotent: if the VM's last operation id is the same, it returns the row unchanged.
func (fl *Fleet) applyOperatorStep(ctx context.Context, operation, name string, step func(*vm.VM) (*vm.VM, error)) (*vm.VM, error) {
	if operation == "" {
		return nil, code.HeaderMalformed.New("expected an operation id")
	}
	inst, err := fl.tab.VM(ctx, name)
	if err != nil {
		return nil, err
	}
	if inst.Operation() == operation {
		return inst, nil
	}
	mb, err := fl.tab.Load(ctx, inst.Pool(), nil)
	if err != nil {
		return nil, err
	}
	inst = mb.VM(name)
	if inst == nil {
		return nil, code.Conflict.New("VM %s moved to another pool while it was read", name)
	}
	next, err := step(inst)
	if err != nil {
		return nil, err
	}
	if err := fl.checkBudget(inst, next, mb); err != nil {
		return nil, err
	}
	err = fl.tab.CommitStep(ctx, fl.commitID(next), next, mb, nil)
	fl.invalidate(mb.Name())
	if isConflict(err) {
		return fl.resolveConflict(ctx, operation, name, err)
	}
	if err != nil {
		return nil, err
	}
	fl.reportStep(next)
	return next, nil
}

// resolveConflict returns the row if the conflicting write was of the same operation, and the error otherwise.
func (fl *Fleet) resolveConflict(ctx context.Context, operation, name string, err error) (*vm.VM, error) {
	inst, readErr := fl.tab.VM(ctx, name)
	if readErr == nil && inst.Operation() == operation {
		return inst, nil
	}
	return nil, err
}

// checkBudget returns an error if the step makes a serving VM unavailable and its pool's budget doesn't allow it.
func (fl *Fleet) checkBudget(inst, next *vm.VM, mb *poolmembers.Membership) error {
	if !inst.Serving() || !next.Away() {
		return nil
	}
	pl, err := fl.pool(mb.Name())
	if err != nil {
		return err
	}
	pr, err := fl.presence()
	if err != nil {
		return err
	}
	return budget.New(pl, mb, pr.Up).Check(inst.Name())
}

// Members returns the VMs of a pool from the cache, which is read again only after the pool's row has changed.
func (fl *Fleet) Members(ctx context.Context, pool string) ([]*vm.VM, error) {
	mb, err := fl.load(ctx, pool)
	if err != nil {
		return nil, err
	}
	return mb.VMs(), nil
}

// VMs returns the rows of the VMs of a pool, or of all pools of the bundle if the name is empty; gone VMs are included.
func (fl *Fleet) VMs(ctx context.Context, poolName string) (*fleetpb.VMList, error) {
	out := &fleetpb.VMList{}
	for _, pl := range fl.config().Pools() {
		if poolName != "" && pl.Name() != poolName {
			continue
		}
		mb, err := fl.tab.Load(ctx, pl.Name(), nil)
		if err != nil {
			return nil, err
		}
		for _, inst := range append(mb.VMs(), mb.Gone()...) {
			out.Vms = append(out.Vms, inst.Row())
		}
	}
	return out, nil
}

// Pools returns each pool of the bundle with its unavailable VMs and its budget.
func (fl *Fleet) Pools(ctx context.Context) (*fleetpb.PoolList, error) {
	out := &fleetpb.PoolList{}
	for _, pl := range fl.config().Pools() {
		ps, err := fl.poolStatus(ctx, pl)
		if err != nil {
			return nil, err
		}
		out.Pools = append(out.Pools, ps)
	}
	return out, nil
}

func (fl *Fleet) poolStatus(ctx context.Context, pl pool.Pool) (*fleetpb.PoolStatus, error) {
	mb, err := fl.tab.Load(ctx, pl.Name(), nil)
	if err != nil {
		return nil, err
	}
	pr, err := fl.presence()
	if err != nil {
		return nil, err
	}
	bg := budget.New(pl, mb, pr.Up)
	return &fleetpb.PoolStatus{
		Name:           pl.Name(),
		Size:           uint32(pl.Size()),
		MaxUnavailable: uint32(pl.MaxUnavailable()),
		Members:        uint32(len(mb.Members())),
		Away:           uint32(len(mb.Away())),
		Down:           uint32(max(bg.Down(), 0)),
		WorstRack:      uint32(bg.WorstRack()),
		Blocked:        bg.PoolBlockReason(),
	}, nil
}

// CreateWave starts a maintenance wave, or returns an error if a pool isn't in the bundle or the name is taken. Repeating the operation id returns the wave.
func (fl *Fleet) CreateWave(ctx context.Context, operation, operator string, row *fleetpb.WaveRow) (*wave.Wave, error) {
	if operation == "" {
		return nil, code.HeaderMalformed.New("expected an operation id")
	}
	for _, name := range row.GetPools() {
		if _, err := fl.pool(name); err != nil {
			return nil, err
		}
	}
	old, err := fl.tab.Wave(ctx, row.GetName())
	if err == nil && old.Operation() == operation {
		return old, nil
	}
	if err != nil && code.Of(err) != code.WaveUnknown {
		return nil, err
	}
	if err == nil {
		return nil, code.Conflict.New("wave %s already exists", row.GetName())
	}
	row.Operation = operation
	row.Operator = operator
	next, err := wave.New(row, fl.ck.Now())
	if err != nil {
		return nil, err
	}
	return fl.putWave(ctx, operation, next)
}

// ChangeWave pauses, resumes or cancels a wave. Of two operators who change it concurrently, one gets a Conflict error.
func (fl *Fleet) ChangeWave(ctx context.Context, operation, operator, name, verb string) (*wave.Wave, error) {
	if operation == "" {
		return nil, code.HeaderMalformed.New("expected an operation id")
	}
	wv, err := fl.tab.Wave(ctx, name)
	if err != nil {
		return nil, err
	}
	if wv.Operation() == operation {
		return wv, nil
	}
	next, err := applyVerb(wv, operation, operator, verb, fl.ck.Now())
	if err != nil {
		return nil, err
	}
	return fl.putWave(ctx, operation, next)
}

// Waves returns the rows of all waves.
func (fl *Fleet) Waves(ctx context.Context) (*fleetpb.WaveList, error) {
	waves, err := fl.tab.Waves(ctx)
	if err != nil {
		return nil, err
	}
	out := &fleetpb.WaveList{}
	for _, wv := range waves {
		out.Waves = append(out.Waves, wv.Row())
	}
	return out, nil
}

// WaitReasons returns why each wave takes no VM in a pool, as this process last decided, sorted by wave and pool.
func (fl *Fleet) WaitReasons() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := make([]string, 0, len(fl.waitReasons))
	for key, reason := range fl.waitReasons {
		list = append(list, key+": "+reason)
	}
	slices.Sort(list)
	return list
}

func (fl *Fleet) putWave(ctx context.Context, operation string, wv *wave.Wave) (*wave.Wave, error) {
	if err := fl.tab.PutWave(ctx, operation, wv); err != nil {
		return nil, err
	}
	fl.log.Info("wave-"+wave.StateName(wv.State()), "wave", wv.Name(), "reason", wv.Reason(), "operation", operation)
	return wv, nil
}

func applyVerb(wv *wave.Wave, operation, operator, verb string, nowMS int64) (*wave.Wave, error) {
	switch verb {
	case "pause":
		return wv.Pause(operation, operator, nowMS)
	case "resume":
		return wv.Resume(operation, operator, nowMS)
	case "cancel":
		return wv.Cancel(operation, operator, nowMS)
	default:
		return nil, code.HeaderMalformed.New("wave: expected pause, resume or cancel, got %q", verb)
	}
}
