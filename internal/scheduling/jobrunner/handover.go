package jobrunner

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
)

const (
	// probeTimeoutMS bounds the probe of the store by an entry that is to stop, probeIntervalMS is the pause before a failed one is repeated.
	probeTimeoutMS  = 500
	probeIntervalMS = 250
	// probeKey is the key of a row that doesn't exist.
	probeKey = "probe"
)

// handoverDue reports whether this entry is to hand over scheduling because it was requested to stop. A successor needs all partitions for its restore, so while one of them is unavailable this entry goes on scheduling for as long as it may.
func (rn *Runner) handoverDue() bool {
	if rn.stopRequestedMS == 0 {
		return false
	}
	return rn.storeProbed || rn.ck.Now()-rn.stopRequestedMS >= rn.deps.MaxHandoverDelayMS
}

// awaitsProbe reports whether the first probe of the store is under way. Nothing is begun meanwhile, so that no commit holds up the handover.
func (rn *Runner) awaitsProbe() bool { return rn.stopRequestedMS != 0 && rn.probes == 0 }

// probeStore reads a row of each partition that a restore reads, until all of these reads succeed or none does: an entry that can't reach the store at all can't schedule either.
func (rn *Runner) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		failed, total := rn.probeOnce(ctx, probeTimeoutMS)
		done := failed == 0 || failed == total
		rn.post(ctx, func() {
			rn.probes++
			rn.storeProbed = done
		})
		if done {
			return
		}
		rn.lg.Info("handover-delayed", "token", rn.ow.Token(), "unavailable", failed)
		_ = rn.ck.Sleep(ctx, probeIntervalMS)
	}
}

// probeOnce returns how many of the partitions couldn't be read within a timeout, and how many there are.
func (rn *Runner) probeOnce(ctx context.Context, timeoutMS int64) (failed, total int64) {
	ctx, cancel := rn.ck.WithTimeout(ctx, timeoutMS)
	defer cancel()
	var probes sync.WaitGroup
	var failures atomic.Int64
	probe := func(table, partition string) {
		total++
		probes.Go(func() {
			if _, _, err := rn.deps.Store.Get(ctx, table, partition, probeKey); err != nil {
				failures.Add(1)
			}
		})
	}
	for _, partition := range intake.Partitions() {
		probe(intake.JobsTable, partition)
	}
	probe(intake.ProgressTable, ownership.Partition)
	probe(rn.deps.RegistryTable, registryPartition)
	probes.Wait()
	return failures.Load(), total
}
