package jobrunner

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const wavesTable = "upkeep"

// Location of the row that holds the teams' recent use of the pools.
const (
	SharesTable     = "shares"
	SharesPartition = ownership.Partition
	SharesKey       = "use"
)

// change holds the rows of one commit, encoded once so that each retry writes identical bytes.
type change struct {
	rows []rowstore.Row
	// progressIDs lists the jobs whose progress rows the commit deletes.
	progressIDs []string
}

// ownerRows holds the rows of a commit that aren't progress of jobs; counts, estimate and shares are nil unless they are due.
type ownerRows struct {
	counts   *workpb.Pending
	waves    []*workpb.Upkeep
	estimate *workpb.Waits
	shares   *workpb.Shares
}

func newChange(progress []*workpb.Progress, rows *ownerRows, progressIDs []string) (*change, error) {
	ch := &change{progressIDs: progressIDs}
	for _, pg := range progress {
		if err := ch.add(intake.ProgressTable, pg.GetId(), pg); err != nil {
			return nil, err
		}
	}
	for _, row := range rows.waves {
		if err := ch.add(wavesTable, strconv.FormatInt(row.GetWave(), 10), row); err != nil {
			return nil, err
		}
	}
	if rows.counts != nil {
		if err := ch.add(PendingTable, PendingKey, rows.counts); err != nil {
			return nil, err
		}
	}
	if rows.estimate != nil {
		if err := ch.add(waitestimate.Table, waitestimate.Key, rows.estimate); err != nil {
			return nil, err
		}
	}
	if rows.shares != nil {
		if err := ch.add(SharesTable, SharesKey, rows.shares); err != nil {
			return nil, err
		}
	}
	return ch, nil
}

// without returns the change without the rows of a table.
func (ch *change) without(table string) *change {
	out := &change{progressIDs: ch.progressIDs}
	for _, rw := range ch.rows {
		if rw.Table() != table {
			out.rows = append(out.rows, rw)
		}
	}
	return out
}

func (ch *change) add(table, key string, msg proto.Message) error {
	raw, err := proto.Marshal(msg)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	ch.rows = append(ch.rows, rowstore.NewRow(table, "", key, raw, 0))
	return nil
}

// writeTo adds the rows and deletions to a transaction.
func (ch *change) writeTo(tx *rowstore.Tx) {
	for _, rw := range ch.rows {
		tx.Put(rw.Table(), rw.Key(), rw.Value())
	}
	for _, id := range ch.progressIDs {
		tx.Remove(intake.ProgressTable, id)
	}
}
