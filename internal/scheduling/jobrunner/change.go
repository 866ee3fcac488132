package jobrunner

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
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

func newChange(progress []*workpb.Progress, counts *workpb.Pending, shares *workpb.Shares, waveRows []*workpb.Upkeep, progressIDs []string) (*change, error) {
	ch := &change{progressIDs: progressIDs}
	for _, pg := range progress {
		if err := ch.add(intake.ProgressTable, pg.GetId(), pg); err != nil {
			return nil, err
		}
	}
	for _, row := range waveRows {
		if err := ch.add(wavesTable, strconv.FormatInt(row.GetWave(), 10), row); err != nil {
			return nil, err
		}
	}
	if counts != nil {
		if err := ch.add(PendingTable, PendingKey, counts); err != nil {
			return nil, err
		}
	}
	if shares != nil {
		if err := ch.add(SharesTable, SharesKey, shares); err != nil {
			return nil, err
		}
	}
	return ch, nil
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
