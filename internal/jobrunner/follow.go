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
	// feedWaitMS is how long a feed waits for a change; a silent connection is noticed soon after.
	feedWaitMS = 1500
	// jobsGapMS and registryGapMS are the least times between calls, which are priced: a job may be a little late, and VMs report all the time.
	jobsIntervalMS     = 30
	registryIntervalMS = 100
	// registryPart is the partition of the registrations.
	registryPart = ""
)

// restore reads all that is stored and begins to follow the changes.
func (rn *Runner) restore(ctx context.Context) error {
	jobs, since, err := rn.readJobs(ctx)
	if err != nil {
		return err
	}
	stored, _, err := rn.deps.Store.ReadAll(ctx, intake.ProgressTable, ownership.Part)
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
	registered, registrySince, err := rn.deps.Store.ReadAll(ctx, rn.deps.RegistryTable, registryPart)
	if err != nil {
		return err
	}
	rn.applyRegistry(registered, true)
	go rn.followTable(ctx, intake.JobsTable, since, jobsIntervalMS, rn.readJobs, func(list []rowstore.Row, _ bool) { rn.applyJobs(list, nil) })
	go rn.followTable(ctx, rn.deps.RegistryTable, registrySince, registryIntervalMS, rn.readRegistry, rn.applyRegistry)
	return nil
}

func (rn *Runner) readRegistry(ctx context.Context) ([]rowstore.Row, int64, error) {
	return rn.deps.Store.ReadAll(ctx, rn.deps.RegistryTable, registryPart)
}

// readJobs reads the jobs of all partitions at once and returns the version from which to follow: that of a read before all others, since a change before it may be of a job that is gone.
func (rn *Runner) readJobs(ctx context.Context) ([]rowstore.Row, int64, error) {
	pg, err := rn.deps.Store.Read(ctx, intake.JobsTable, ownership.Part, "", "")
	if err != nil {
		return nil, 0, err
	}
	parts, err := rn.deps.Store.Parts(ctx, intake.JobsTable)
	if err != nil {
		return nil, 0, err
	}
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		all   []rowstore.Row
		first error
	)
	for _, part := range parts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list, _, err := rn.deps.Store.ReadAll(ctx, intake.JobsTable, part)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
			if err != nil {
				first = err
			}
		}()
	}
	wg.Wait()
	return all, pg.Version(), first
}

// follow posts the changes of a table, and all of its rows again after a gap in its history.
func (rn *Runner) followTable(ctx context.Context, table string, after, gapMS int64, read func(context.Context) ([]rowstore.Row, int64, error), take func([]rowstore.Row, bool)) {
	fd := rowfeed.New(rn.deps.Store, rn.ck, table, feedWaitMS, read).From(after).Every(gapMS)
	fd.Lost = func(err error) { rn.lg.Fail("feed-lost", err, "table", table) }
	fd.Regained = func(version int64) { rn.lg.Info("feed-regained", "table", table, "version", version) }
	fd.GapSeen = func(after int64) { rn.lg.Info("history-lost", "table", table, "after", after) }
	fd.Run(ctx, func(ch rowfeed.Change) {
		if len(ch.Rows()) > 0 || ch.Whole() {
			rn.post(ctx, func() { take(ch.Rows(), ch.Whole()) })
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

// takeRegistry takes up registrations; a whole list also tells which VMs have gone.
func (rn *Runner) applyRegistry(list []rowstore.Row, whole bool) {
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
	if !whole {
		return
	}
	for _, id := range rn.ct.VMs() {
		if !known[id] {
			rn.ct.DropVM(id)
		}
	}
}
