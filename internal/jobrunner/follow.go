package jobrunner

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/intake"
	"github.com/fulmarloft/fulmarloft/internal/ownership"
	"github.com/fulmarloft/fulmarloft/internal/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	// feedWaitMS bounds one long poll for changes; a connection that loses all data is noticed shortly after it.
	feedWaitMS = 1500
	// jobsIntervalMS and registryIntervalMS are the minimum times between feed calls, which are billed: a job may be picked up slightly late, and VMs update their registrations constantly.
	jobsIntervalMS     = 30
	registryIntervalMS = 100
	// registryPartition is the partition that holds the registrations.
	registryPartition = ""
)

// restore loads jobs, progress, wave states and registrations from the store and starts to follow the changes of jobs and registrations.
func (rn *Runner) restore(ctx context.Context) error {
	jobs, since, err := rn.readJobs(ctx)
	if err != nil {
		return err
	}
	stored, _, err := rn.deps.Store.ReadAll(ctx, intake.ProgressTable, ownership.Partition)
	if err != nil {
		return err
	}
	progress := map[string]*workpb.Progress{}
	for _, rw := range stored {
		pg := &workpb.Progress{}
		if err := proto.Unmarshal(rw.Value(), pg); err != nil {
			rn.lg.Fail("progress-unreadable", err, "job", rw.Key())
			continue
		}
		progress[rw.Key()] = pg
	}
	if err := rn.waves.restore(ctx); err != nil {
		return err
	}
	rn.applyJobs(jobs, progress)
	rn.cleaner.addOrphans(keySet(jobs), progress)
	registered, registrySince, err := rn.deps.Store.ReadAll(ctx, rn.deps.RegistryTable, registryPartition)
	if err != nil {
		return err
	}
	rn.applyRegistry(registered, true)
	go rn.followTable(ctx, intake.JobsTable, since, jobsIntervalMS, rn.readJobs, func(list []rowstore.Row, _ bool) { rn.applyJobs(list, nil) })
	go rn.followTable(ctx, rn.deps.RegistryTable, registrySince, registryIntervalMS, rn.readRegistry, rn.applyRegistry)
	return nil
}

func (rn *Runner) readRegistry(ctx context.Context) ([]rowstore.Row, int64, error) {
	return rn.deps.Store.ReadAll(ctx, rn.deps.RegistryTable, registryPartition)
}

// readJobs reads the jobs of all partitions concurrently and returns the version to follow from, which is that of a read made before all others: a later version would miss changes, and earlier changes may concern jobs whose rows are already deleted.
func (rn *Runner) readJobs(ctx context.Context) ([]rowstore.Row, int64, error) {
	pg, err := rn.deps.Store.Read(ctx, intake.JobsTable, ownership.Partition, "", "")
	if err != nil {
		return nil, 0, err
	}
	partitions, err := rn.deps.Store.Partitions(ctx, intake.JobsTable)
	if err != nil {
		return nil, 0, err
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		all    []rowstore.Row
		anyErr error
	)
	for _, partition := range partitions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list, _, err := rn.deps.Store.ReadAll(ctx, intake.JobsTable, partition)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
			if err != nil {
				anyErr = err
			}
		}()
	}
	wg.Wait()
	return all, pg.Version(), anyErr
}

// followTable posts the changes of a table to the runner, or all of its rows after a gap in the change history.
func (rn *Runner) followTable(ctx context.Context, table string, after, minIntervalMS int64, read func(context.Context) ([]rowstore.Row, int64, error), apply func([]rowstore.Row, bool)) {
	fd := rowfeed.New(rn.deps.Store, rn.ck, table, feedWaitMS, read).StartAfter(after).WithMinInterval(minIntervalMS)
	fd.OnOutage = func(err error) { rn.lg.Fail("feed-lost", err, "table", table) }
	fd.OnRecovery = func(version int64) { rn.lg.Info("feed-regained", "table", table, "version", version) }
	fd.OnHistoryLost = func(after int64) { rn.lg.Info("history-lost", "table", table, "after", after) }
	fd.Run(ctx, func(ch rowfeed.Change) {
		if len(ch.Rows()) > 0 || ch.Complete() {
			rn.post(ctx, func() { apply(ch.Rows(), ch.Complete()) })
		}
	})
}

func keySet(list []rowstore.Row) map[string]bool {
	ids := map[string]bool{}
	for _, rw := range list {
		ids[rw.Key()] = true
	}
	return ids
}

// applyJobs submits new jobs and cancels jobs; with progress, which is given only on restore, jobs continue from it.
func (rn *Runner) applyJobs(list []rowstore.Row, progress map[string]*workpb.Progress) {
	var cancelled []string
	for _, rw := range list {
		if rw.Deleted() {
			continue
		}
		if id, ok := intake.CancelledID(rw.Key()); ok {
			cancelled = append(cancelled, id)
			continue
		}
		jb := &workpb.Job{}
		if err := proto.Unmarshal(rw.Value(), jb); err != nil {
			rn.lg.Fail("job-unreadable", err, "job", rw.Key())
			continue
		}
		if jb.GetRefused() {
			rn.cleaner.addRefused(jb.GetId())
			continue
		}
		if progress != nil {
			rn.ct.Restore(jb, progress[jb.GetId()])
			continue
		}
		rn.ct.Submit(jb)
	}
	for _, id := range cancelled {
		rn.ct.Cancel(id)
	}
}

// applyRegistry applies registrations; a complete list also removes the VMs that it no longer contains.
func (rn *Runner) applyRegistry(list []rowstore.Row, complete bool) {
	known := map[string]bool{}
	for _, rw := range list {
		if rw.Deleted() {
			rn.ct.DropVM(rw.Key())
			continue
		}
		vm, err := rn.deps.DecodeVM(rw.Key(), rw.Value())
		if err != nil {
			rn.lg.Fail("registration-ignored", err, "vm", rw.Key())
			rn.ct.DropVM(rw.Key())
			continue
		}
		known[rw.Key()] = true
		rn.ct.SetVM(vm)
	}
	if !complete {
		return
	}
	for _, id := range rn.ct.VMs() {
		if !known[id] {
			rn.ct.DropVM(id)
		}
	}
}
