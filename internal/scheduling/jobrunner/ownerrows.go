package jobrunner

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

const wavesTable = "upkeep"

// Location of the row that holds the teams' recent use of the pools.
const (
	SharesTable     = "shares"
	SharesPartition = ownership.Partition
	SharesKey       = "use"
)

const (
	// maxProgressRows is the number of rows of jobs' progress in one commit, maxWaveRows that of waves; others are stored with the next commits.
	maxProgressRows = 90
	maxWaveRows     = 40
	// otherOwnerRows is the number of the owner's rows that aren't waves: counts, estimate and shares.
	otherOwnerRows = 3
	// ownershipEntries is the number of entries that renew the ownership, ownershipBytes more than they take.
	ownershipEntries = 2
	ownershipBytes   = 10_000
	// waveDivisor divides the bytes of a transaction into the part that waves may take.
	waveDivisor = 4
)

// ownerRows holds the rows of a commit that aren't progress of jobs; counts, estimate and shares are nil unless they are due.
type ownerRows struct {
	counts   *workpb.Pending
	waves    []*workpb.Upkeep
	estimate *workpb.Waits
	shares   *workpb.Shares
}

// ownerRow is one of them with its place in the store.
type ownerRow struct {
	table, key string
	row        proto.Message
}

// name names the row among all that commits hold.
func (or ownerRow) name() string { return or.table + "/" + or.key }

// bytes returns what the row adds to a transaction.
func (or ownerRow) bytes() int {
	return rowstore.RemoveBytes(or.table, or.key) + rowstore.EncodedLen(proto.Size(or.row))
}

func waveRow(row *workpb.Upkeep) ownerRow {
	return ownerRow{wavesTable, strconv.FormatInt(row.GetWave(), 10), row}
}

func countsRow(row *workpb.Pending) ownerRow { return ownerRow{PendingTable, PendingKey, row} }

func estimateRow(row *workpb.Waits) ownerRow {
	return ownerRow{waitestimate.Table, waitestimate.Key, row}
}

func sharesRow(row *workpb.Shares) ownerRow { return ownerRow{SharesTable, SharesKey, row} }

// list returns the rows.
func (rows *ownerRows) list() []ownerRow {
	var out []ownerRow
	for _, row := range rows.waves {
		out = append(out, waveRow(row))
	}
	if rows.counts != nil {
		out = append(out, countsRow(rows.counts))
	}
	if rows.estimate != nil {
		out = append(out, estimateRow(rows.estimate))
	}
	if rows.shares != nil {
		out = append(out, sharesRow(rows.shares))
	}
	return out
}

// storable reports whether one of the owner's rows may be stored: it isn't too large for the store, and the store hasn't refused it lately.
func (rn *Runner) storable(or ownerRow) bool {
	nowMS := rn.ck.Now()
	if rn.guard.Aside(or.name(), nowMS) {
		return false
	}
	limit, size := rn.deps.Store.Limits.RowBytes(), rowstore.EncodedLen(proto.Size(or.row))
	if limit > 0 && size > limit {
		rn.lg.Info("row-too-large", "row", or.name(), "bytes", size, "limit", limit)
		rn.guard.SetAside(or.name(), nowMS)
		return false
	}
	return true
}

// takesOwnerRows reports whether the next commit may hold rows of the owner. While the guard allows but one row, they take turns with the progress of jobs.
func (rn *Runner) takesOwnerRows() bool {
	if rn.guard.Limit() > 1 {
		return true
	}
	rn.ownerTurn = !rn.ownerTurn
	return rn.ownerTurn
}

// dueWaves returns the changed states of waves that the next commit may hold, and how many bytes they add to it.
func (rn *Runner) dueWaves() (rows []*workpb.Upkeep, bytes int) {
	maxRows, maxBytes := min(maxWaveRows, rn.guard.Limit()), rn.deps.Store.Limits.TxBytes()/waveDivisor
	count := 0
	take := func(row *workpb.Upkeep) bool {
		size := waveRow(row).bytes()
		if count >= maxRows || !rn.storable(waveRow(row)) {
			return false
		}
		if maxBytes > 0 && count > 0 && bytes+size > maxBytes {
			return false
		}
		count++
		bytes += size
		return true
	}
	rows = rn.waves.changedRows(take)
	return rows, bytes
}

// limitBatch leaves the next batch of progress what a commit may hold beside the given waves and the owner's other rows.
func (rn *Runner) limitBatch(waves, waveBytes int) {
	limits := rn.deps.Store.Limits
	rows := rn.guard.Limit() - waves
	if limits.Entries() > 0 {
		rows = min(rows, limits.Entries()-ownershipEntries-otherOwnerRows-waves)
	}
	bytes := 0
	if limits.TxBytes() > 0 {
		bytes = limits.TxBytes() - ownershipBytes - waveBytes - otherOwnerRows*limits.RowBytes()
	}
	rn.ct.LimitBatch(max(rows, 0), bytes, limits.RowBytes())
}

// narrowed reports whether commits are small since one was refused.
func (rn *Runner) narrowed() bool { return rn.guard.Limit() < maxProgressRows }

// mayAdd reports whether one more of the owner's rows may be stored beside a batch.
func (rn *Runner) mayAdd(rows *ownerRows, bt *jobcontrol.Batch) bool {
	return !rn.narrowed() || len(bt.Jobs())+len(rows.list()) < rn.guard.Limit()
}

// dueRows adds to the waves the other rows of the owner that are due, as far as the next commit may hold them beside a batch.
func (rn *Runner) dueRows(nowMS int64, waves []*workpb.Upkeep, bt *jobcontrol.Batch) *ownerRows {
	rows := &ownerRows{waves: waves}
	if counts := rn.pendingCounts(nowMS); counts != nil && rn.mayAdd(rows, bt) && rn.storable(countsRow(counts)) {
		rows.counts = counts
	}
	if estimate := rn.waits.dueRow(nowMS); estimate != nil && rn.mayAdd(rows, bt) && rn.storable(estimateRow(estimate)) {
		rows.estimate = estimate
	}
	return rows
}

// addShares adds the teams' recent use to the rows of a commit if it is due.
func (rn *Runner) addShares(rows *ownerRows, bt *jobcontrol.Batch) {
	if !rn.mayAdd(rows, bt) {
		return
	}
	if shares := rn.ct.SharesToStore(); shares != nil && rn.storable(sharesRow(shares)) {
		rows.shares = shares
	}
}

// freeEntries returns how many rows a commit may delete beside what it stores, none while commits are small.
func (rn *Runner) freeEntries(bt *jobcontrol.Batch, rows *ownerRows) int {
	if rn.narrowed() {
		return 0
	}
	return maxProgressRows - len(bt.Rows()) - len(bt.Removed()) - len(rows.waves)
}

// handleRefused handles a commit that the store has refused for its content: what it held is tried again in smaller commits, until what is refused alone is known and left out.
func (rn *Runner) handleRefused(bt *jobcontrol.Batch, rows *ownerRows, err error) {
	names := bt.Jobs()
	for _, or := range rows.list() {
		names = append(names, or.name())
	}
	rn.lg.Fail("commit-refused", err, "jobs", len(bt.Jobs()), "names", len(names))
	rn.ct.HandleRefused(bt)
	rn.waves.rowsRefused(rows.waves)
	if culprit, found := rn.guard.RecordRefused(names, rn.ck.Now()); found {
		rn.lg.Info("row-set-aside", "name", culprit)
		rn.ct.SetAside(culprit)
	}
}
