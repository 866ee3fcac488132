package jobrunner

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

const wavesTable = "upkeep"

// Location of the row that holds the teams' recent use of the pools.
const (
	SharesTable     = "shares"
	SharesPartition = ownership.Partition
	SharesKey       = "use"
)

const (
	// maxProgressRows is the number of rows of jobs' progress in one commit; others are stored with the next ones.
	maxProgressRows = 90
	// otherOwnerRows is the number of the owner's rows that aren't waves: counts, estimate and shares.
	otherOwnerRows = 3
	// ownershipEntries is the number of entries that renew the ownership, ownershipBytes more than they take.
	ownershipEntries = 2
	ownershipBytes   = 10_000
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

// list returns the rows.
func (rows *ownerRows) list() []ownerRow {
	var out []ownerRow
	for _, row := range rows.waves {
		out = append(out, ownerRow{wavesTable, strconv.FormatInt(row.GetWave(), 10), row})
	}
	if rows.counts != nil {
		out = append(out, ownerRow{PendingTable, PendingKey, rows.counts})
	}
	if rows.estimate != nil {
		out = append(out, ownerRow{waitestimate.Table, waitestimate.Key, rows.estimate})
	}
	if rows.shares != nil {
		out = append(out, ownerRow{SharesTable, SharesKey, rows.shares})
	}
	return out
}

// limitBatch leaves the next batch of progress what a commit may hold beside a number of waves and the owner's other rows.
func (rn *Runner) limitBatch(waves int) {
	limits := rn.deps.Store.Limits
	rows, bytes := maxProgressRows, 0
	if limits.Entries() > 0 {
		rows = min(rows, limits.Entries()-ownershipEntries-otherOwnerRows-waves)
	}
	if limits.TxBytes() > 0 {
		bytes = limits.TxBytes() - ownershipBytes - (otherOwnerRows+waves)*limits.RowBytes()
	}
	rn.ct.LimitBatch(max(rows, 0), bytes, limits.RowBytes())
}
