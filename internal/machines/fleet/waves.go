package fleet

import (
	"context"
	"fmt"

	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/machines/wave"
	"github.com/fulmarloft/fulmarloft/internal/machines/wavestep"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// driveWaves advances each wave in the pools of the batch.
func (fl *Fleet) driveWaves(ctx context.Context, pr *presence.Presence, batch []pool.Pool) {
	waves, err := fl.tab.Waves(ctx)
	if err != nil {
		fl.logFailure("waves-unread", err)
		return
	}
	for _, wv := range waves {
		for _, pl := range batch {
			wv = fl.driveWave(ctx, pr, pl, wv)
		}
	}
}

// driveWave advances a wave in one pool and returns its state afterwards.
func (fl *Fleet) driveWave(ctx context.Context, pr *presence.Presence, pl pool.Pool, wv *wave.Wave) *wave.Wave {
	if !wv.SelectsPool(pl.Name()) || (!wv.Running() && !wv.Halted()) || !fl.holdsLease(waveLease(wv)) {
		return wv
	}
	mb, err := fl.load(ctx, pl.Name())
	if err != nil {
		fl.logFailure("pools-unread", err, "pool", pl.Name())
		return wv
	}
	st := wavestep.New(wv, mb, pr, pl, fl.ck.Now(), waveStepTimeoutMS)
	fl.setWaitReason(wv.Name()+" "+pl.Name(), st.WaitReason())
	switch {
	case wv.Halted():
		return fl.recoverWave(ctx, pl, wv, st)
	case st.Failure() != "":
		return fl.changeWave(ctx, wv, func() (*wave.Wave, error) { return wv.Halt(pl.Name(), st.Failure(), fl.ck.Now()) })
	case st.Next() != nil:
		fl.drainForWave(ctx, mb, wv, st.Next())
		return wv
	case st.Done() != wv.Finished(pl.Name()):
		return fl.setPoolFinished(ctx, pl, wv, st.Done())
	default:
		return wv
	}
}

// drainForWave starts the drain of a VM, on the condition that the wave's row is unchanged since it was read, so that the commit fails if the wave was paused meanwhile.
func (fl *Fleet) drainForWave(ctx context.Context, mb *poolmembers.Membership, wv *wave.Wave, inst *vm.VM) {
	operation := fmt.Sprintf("wave-%s-%s-%d", wv.Name(), inst.Name(), inst.Epoch())
	next, err := inst.Maintain(operation, wv.Name(), fl.ck.Now())
	if err != nil {
		fl.logFailure("vm-step-failed", err, "vm", inst.Name())
		return
	}
	fl.commit(ctx, waveLease(wv), next, mb, wv.Condition())
}

// recoverWave resumes a halted wave once the pool that halted it has had no failure for recoveryWaitMS. While the failure lasts it restarts that wait, at most every half of recoveryWaitMS.
func (fl *Fleet) recoverWave(ctx context.Context, pl pool.Pool, wv *wave.Wave, st *wavestep.Step) *wave.Wave {
	elapsedMS := fl.ck.Now() - wv.ChangedMS()
	if st.Failure() != "" {
		if elapsedMS < recoveryWaitMS/2 {
			return wv
		}
		return fl.changeWave(ctx, wv, func() (*wave.Wave, error) { return wv.RestartRecovery(pl.Name(), st.Failure(), fl.ck.Now()) })
	}
	if st.WaitReason() != "" || pl.Name() != wv.HaltedPool() || elapsedMS < recoveryWaitMS {
		return wv
	}
	return fl.changeWave(ctx, wv, func() (*wave.Wave, error) { return wv.Recover(fl.ck.Now()) })
}

// setPoolFinished records that the pool has no VM left to maintain, or has some again.
func (fl *Fleet) setPoolFinished(ctx context.Context, pl pool.Pool, wv *wave.Wave, done bool) *wave.Wave {
	return fl.changeWave(ctx, wv, func() (*wave.Wave, error) {
		if !done {
			return wv.Reopen(pl.Name()), nil
		}
		var names []string
		for _, other := range fl.config().Pools() {
			names = append(names, other.Name())
		}
		return wv.Finish(pl.Name(), names, fl.ck.Now())
	})
}

// changeWave writes a change made by the driver, if the lease is still held, and returns the wave as the table then has it, or unchanged if that fails.
func (fl *Fleet) changeWave(ctx context.Context, wv *wave.Wave, change func() (*wave.Wave, error)) *wave.Wave {
	next, err := change()
	if err == nil && fl.holdsLease(waveLease(wv)) {
		err = fl.tab.PutWave(ctx, fmt.Sprintf("wave-%s-%d-%s", wv.Name(), next.Epoch(), fl.name), next)
	}
	if err != nil {
		fl.logFailure("wave-step-failed", err, "wave", wv.Name())
		return wv
	}
	fl.log.Info("wave-"+wave.StateName(next.State()), "wave", wv.Name(), "reason", next.Reason())
	fl.reg.Count(1, "fleet", "waves", wave.StateName(next.State()))
	current, err := fl.tab.Wave(ctx, wv.Name())
	if err != nil {
		return wv
	}
	return current
}

// setWaitReason records for operators why a wave takes no VM in a pool.
func (fl *Fleet) setWaitReason(key, reason string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if reason == "" {
		delete(fl.waitReasons, key)
		return
	}
	fl.waitReasons[key] = reason
}

func waveLease(wv *wave.Wave) string { return "wave/" + wv.Name() }
