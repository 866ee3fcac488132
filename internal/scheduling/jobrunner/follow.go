package jobrunner

import (
	"context"
	"math"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/store/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// feedWaitMS bounds one long poll for changes; a connection that loses all data is noticed shortly after it.
	feedWaitMS = 1500
	// jobsIntervalMS and registryIntervalMS are the minimum times between feed calls, which are billed: a job may be picked up slightly late, and VMs update their registrations constantly.
	jobsIntervalMS     = 30
	registryIntervalMS = 100
	// maxLongReads bounds the concurrent reads of partitions with long responses, which delay all other calls on a slow link; shortReadBytes is the mean size up to which they are short.
	maxLongReads   = 3
	shortReadBytes = 16 << 10
	// registryPartition is the partition that holds the registrations.
	registryPartition = ""
)

// startFollowing follows the changes of jobs and registrations after the versions that were restored.
func (rn *Runner) startFollowing(ctx context.Context, sn *snapshot) {
	go rn.followTable(ctx, intake.JobsTable, sn.jobsVersion, jobsIntervalMS, rn.readJobs, func(list []rowstore.Row, _ bool) { rn.applyJobs(list, nil) })
	go rn.followTable(ctx, rn.deps.RegistryTable, sn.registryVersion, registryIntervalMS, rn.readRegistry, rn.applyRegistry)
}

func (rn *Runner) readRegistry(ctx context.Context) ([]rowstore.Row, int64, error) {
	return rn.bulk.ReadAll(ctx, rn.deps.RegistryTable, registryPartition, rn.deps.RegistryPrefix)
}

// readJobs reads the jobs of all partitions and returns the version to follow from, which is the earliest of the reads: a later one would miss changes.
//
// A few partitions are read first. If their rows are short, all others are read at once, which a slow store answers as soon as one; long ones are read a few at a time.
func (rn *Runner) readJobs(ctx context.Context) ([]rowstore.Row, int64, error) {
	partitions := intake.Partitions()
	first, version, err := rn.readPartitions(ctx, partitions[:maxLongReads], maxLongReads)
	if err != nil {
		return nil, 0, err
	}
	limit := maxLongReads
	if rowBytes(first) <= maxLongReads*shortReadBytes {
		limit = len(partitions)
	}
	rest, restVersion, err := rn.readPartitions(ctx, partitions[maxLongReads:], limit)
	return append(first, rest...), min(version, restVersion), err
}

// readPartitions reads the jobs of partitions, some at once, and returns the earliest version of the reads.
func (rn *Runner) readPartitions(ctx context.Context, partitions []string, atOnce int) ([]rowstore.Row, int64, error) {
	var mu sync.Mutex
	var all []rowstore.Row
	earliest := int64(math.MaxInt64)
	gr, ctx := errgroup.WithContext(ctx)
	gr.SetLimit(atOnce)
	for _, partition := range partitions {
		gr.Go(func() error {
			list, version, err := rn.bulk.ReadAll(ctx, intake.JobsTable, partition, intake.KeyPrefix(partition))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
			earliest = min(earliest, version)
			return err
		})
	}
	err := gr.Wait()
	return all, earliest, err
}

// rowBytes returns the size of the rows' values.
func rowBytes(list []rowstore.Row) int {
	sum := 0
	for _, rw := range list {
		sum += len(rw.Value())
	}
	return sum
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

// decodeJob decodes a job's row. One that can't be scheduled is an error: it would end each owner's process in turn.
func decodeJob(rw rowstore.Row, jb *workpb.Job) error {
	if err := proto.Unmarshal(rw.Value(), jb); err != nil {
		return code.BodyBroken.Wrap(err)
	}
	if jb.GetId() == "" || jb.GetId() != rw.Key() {
		return code.BodyBroken.New("row %s holds job %q", rw.Key(), jb.GetId())
	}
	return jobwork.Check(jb.GetSteps())
}

// applyJobs submits new jobs and cancels jobs; with progress, which is given only on restore, jobs continue from it.
func (rn *Runner) applyJobs(list []rowstore.Row, progress map[string][]*workpb.Progress) {
	var cancelled []string
	for _, rw := range list {
		rn.renewer.progressed()
		if rw.Deleted() {
			continue
		}
		if id, ok := intake.CancelledID(rw.Key()); ok {
			cancelled = append(cancelled, id)
			continue
		}
		jb := &workpb.Job{}
		if err := decodeJob(rw, jb); err != nil {
			rn.lg.Fail("job-unreadable", err, "job", rw.Key())
			continue
		}
		if jb.GetRefused() {
			rn.cleaner.addRefused(jb, rw.Version())
			rn.ct.RecordRefused(jb)
			continue
		}
		rn.cleaner.dropRefused(jb.GetId())
		rn.cleaner.rows.setWhole(jb.GetId(), rw.Version())
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
