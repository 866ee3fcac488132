package jobrunner

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/bulkread"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// snapshot holds the rows that an owner starts from and the versions after which it follows their changes.
type snapshot struct {
	jobs        []rowstore.Row
	jobsVersion int64
	progress    []rowstore.Row
	parts       []rowstore.Row
	waves       []rowstore.Row
	// shares is nil if the row is missing or couldn't be read.
	shares          []byte
	registry        []rowstore.Row
	registryVersion int64
}

const (
	// sharesReadMS bounds the read of the teams' recent use, after which an owner schedules without it.
	sharesReadMS = 1000
	// progressLogMS is the interval between log lines on the progress of a restore.
	progressLogMS = 2000
	// endedLinkDivisor divides the rate of the link for the reads of ended jobs.
	endedLinkDivisor = 2
	// endedRetryMS is the pause before a failed read of ended jobs is repeated.
	endedRetryMS = 1000
)

// restore loads the stored rows, unless stop is closed or a transfer is due before. It renews the ownership meanwhile, since reading may take longer than the lease: a successor would have to read as much.
func (rn *Runner) restore(ctx context.Context, stop <-chan struct{}) (*snapshot, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-limited.Done():
		}
	}()
	type result struct {
		sn  *snapshot
		err error
	}
	done := make(chan result, 1)
	loggedMS := rn.ck.Now()
	go func() {
		sn, err := rn.readSnapshot(limited)
		done <- result{sn, err}
	}()
	for {
		renewal := make(chan struct{})
		stopTimer := rn.ck.AfterFunc(renewIntervalMS, func() { close(renewal) })
		select {
		case rs := <-done:
			stopTimer()
			if rs.err != nil {
				return nil, rs.err
			}
			rn.ow.EndRestore()
			return rs.sn, nil
		case <-rn.transfers.due:
			// No renewal is under way, so the ownership can be released at once.
			stopTimer()
			return nil, nil
		case <-renewal:
			rn.ow.ReportRestore(rn.bulk.Bytes())
			if nowMS := rn.ck.Now(); nowMS-loggedMS >= progressLogMS {
				loggedMS = nowMS
				rn.lg.Info("restore-progress", "token", rn.ow.Token(), "restored-bytes", rn.bulk.Bytes(), "after-ms", nowMS-rn.startMS)
			}
			if err := rn.renew(limited); err != nil {
				return nil, err
			}
		}
	}
}

// newBulkReader returns a reader for a link of the given rate, whose pages wait for commits.
func (rn *Runner) newBulkReader(bytesPerS int64) *bulkread.Reader {
	rd := bulkread.New(rn.deps.Store, rn.ck, bytesPerS)
	rd.Busy = rn.ow.Committing
	return rd
}

// renew renews the ownership lease without other changes, until the outcome is certain.
func (rn *Runner) renew(ctx context.Context) error {
	for {
		rn.renewer.recordCommit()
		err := rn.ow.Commit(ctx, func(*rowstore.Tx) {})
		if err == nil || code.Of(err) == code.LeaseLapsed {
			return err
		}
		rn.lg.Fail("renewal-failed", err, "silent-ms", rn.ow.SinceRenewalMS())
		if err := rn.ck.Sleep(ctx, commitRetryMS); err != nil {
			return err
		}
	}
}

// readSnapshot reads all tables at once, as far as the link allows. Progress and waves are written by the owner alone, so they don't change meanwhile.
func (rn *Runner) readSnapshot(ctx context.Context) (*snapshot, error) {
	sn := &snapshot{}
	gr, ctx := errgroup.WithContext(ctx)
	read := func(fn func(context.Context) error) {
		gr.Go(func() error { return fn(ctx) })
	}
	read(func(ctx context.Context) (err error) {
		sn.jobs, sn.jobsVersion, err = rn.readJobs(ctx)
		return err
	})
	read(func(ctx context.Context) (err error) {
		sn.progress, _, err = rn.bulk.ReadAll(ctx, intake.ProgressTable, ownership.Partition, "")
		return err
	})
	read(func(ctx context.Context) (err error) {
		sn.parts, _, err = rn.bulk.ReadAll(ctx, intake.PartsTable, ownership.Partition, "")
		return err
	})
	read(func(ctx context.Context) (err error) {
		sn.waves, _, err = rn.bulk.ReadAll(ctx, wavesTable, ownership.Partition, "")
		return err
	})
	read(func(ctx context.Context) (err error) {
		sn.registry, sn.registryVersion, err = rn.readRegistry(ctx)
		if err == nil && rn.deps.Relays.LinkLimited(len(sn.registry)) {
			rn.openRelays(ctx)
		}
		return err
	})
	gr.Go(func() error {
		sn.shares = rn.readShares(ctx)
		return nil
	})
	return sn, gr.Wait()
}

// readShares reads the teams' recent use, and returns nil if there is none. It tries once and briefly: without it only the order of starts differs, for some seconds.
func (rn *Runner) readShares(ctx context.Context) []byte {
	ctx, cancel := rn.ck.WithTimeout(ctx, sharesReadMS)
	defer cancel()
	rw, ok, err := rn.deps.Store.Get(ctx, SharesTable, SharesPartition, SharesKey)
	if err != nil {
		rn.lg.Fail("shares-unread", err)
	}
	if err != nil || !ok {
		return nil
	}
	return rw.Value()
}

// applyShares takes over the teams' recent use; without a readable row this owner begins without any.
func (rn *Runner) applyShares(raw []byte) {
	row := &workpb.Shares{}
	if err := proto.Unmarshal(raw, row); err != nil {
		rn.lg.Fail("shares-unread", code.Internal.Wrap(err))
		return
	}
	rn.ct.RestoreShares(row)
}

// apply builds the owner's state from a snapshot and starts to follow the changes since.
func (rn *Runner) apply(ctx context.Context, sn *snapshot) {
	progress := rn.decodeProgress(sn)
	rn.waves.restore(sn.waves)
	rn.applyJobs(sn.jobs, progress.rows)
	rn.cleaner.addOrphans(keySet(sn.jobs), progress)
	rn.applyRegistry(sn.registry, true)
	rn.applyShares(sn.shares)
	rn.startFollowing(ctx, sn)
	go rn.loadEnded(ctx)
}

// storedProgress holds the progress of all jobs by their ids, and the rows that hold parts of it.
type storedProgress struct {
	rows  map[string][]*workpb.Progress
	parts []rowstore.Row
}

// completed reports whether a job's progress says that it is completed.
func (sp storedProgress) completed(id string) bool {
	return slices.ContainsFunc(sp.rows[id], func(pg *workpb.Progress) bool { return pg.GetState() == workpb.State_COMPLETED })
}

// decodeProgress gathers the rows of progress by jobs; rows that can't be read, or hold something else than their keys say, count as missing.
func (rn *Runner) decodeProgress(sn *snapshot) storedProgress {
	out := storedProgress{rows: map[string][]*workpb.Progress{}, parts: sn.parts}
	for _, rw := range append(slices.Clone(sn.progress), sn.parts...) {
		rn.renewer.progressed()
		pg := &workpb.Progress{}
		if err := proto.Unmarshal(rw.Value(), pg); err != nil {
			rn.lg.Fail("progress-unreadable", err, "job", rw.Key())
			continue
		}
		id := rw.Key()
		if rw.Table() == intake.PartsTable {
			id = pg.GetId()
		}
		if progressKey(id, pg.GetPart()) != (rowKey{rw.Table(), rw.Key()}) {
			rn.lg.Info("progress-misplaced", "table", rw.Table(), "key", rw.Key())
			continue
		}
		out.rows[id] = append(out.rows[id], pg)
	}
	return out
}

// loadEnded loads the ended jobs, which nothing waits for: their rows are deleted one day, and the forecast learns from them.
func (rn *Runner) loadEnded(ctx context.Context) {
	var partitions []string
	rn.readUntilAnswered(ctx, func() (err error) {
		partitions, err = rn.deps.Store.Partitions(ctx, intake.EndedTable)
		return err
	})
	// The calls of scheduling need more of the link than those of a restore.
	bulk := rn.newBulkReader(rn.deps.LinkBytesPerS / endedLinkDivisor)
	bulk.OnFailure = func(err error) { rn.lg.Fail("ended-jobs-unread", err) }
	for _, partition := range partitions {
		var list []rowstore.Row
		startMS := rn.ck.Now()
		rn.readUntilAnswered(ctx, func() (err error) {
			list, _, err = bulk.ReadAll(ctx, intake.EndedTable, partition, intake.KeyPrefix(partition))
			return err
		})
		rn.post(ctx, func() { rn.applyEnded(list) })
		if rn.deps.LinkBytesPerS == 0 {
			// Reads aren't paced without a known rate, so a pause as long as the read leaves half of the link to other calls.
			_ = rn.ck.Sleep(ctx, rn.ck.Now()-startMS)
		}
	}
	rn.post(ctx, func() {
		rn.cleaner.moved = nil
		rn.pools.observeAgain()
	})
}

// readUntilAnswered repeats a read of ended jobs until it succeeds or the context ends.
func (rn *Runner) readUntilAnswered(ctx context.Context, read func() error) {
	for ctx.Err() == nil {
		err := read()
		if err == nil || ctx.Err() != nil {
			return
		}
		rn.lg.Fail("ended-jobs-unread", err)
		_ = rn.ck.Sleep(ctx, endedRetryMS)
	}
}

// applyEnded adds the ended jobs that this owner hasn't moved there itself.
func (rn *Runner) applyEnded(list []rowstore.Row) {
	for _, rw := range list {
		jb := &workpb.Job{}
		if err := decodeJob(rw, jb); err != nil {
			rn.lg.Fail("job-unreadable", err, "job", rw.Key())
			continue
		}
		if !rn.cleaner.moved[jb.GetId()] {
			rn.cleaner.rows.setEnded(jb.GetId(), rw.Version())
			rn.ct.Restore(jb, nil)
		}
	}
}
