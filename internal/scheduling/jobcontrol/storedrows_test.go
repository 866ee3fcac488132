package jobcontrol_test

import (
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// storedRows holds the stored progress by job and part.
type storedRows map[string]map[int64]*workpb.Progress

// rowChange is what a batch changes, as it was when the batch was made.
type rowChange struct {
	rows    []*workpb.Progress
	removed []jobcontrol.PartKey
}

func changeOf(bt *jobcontrol.Batch) rowChange {
	ch := rowChange{removed: bt.Removed()}
	for _, row := range bt.Rows() {
		ch.rows = append(ch.rows, proto.Clone(row).(*workpb.Progress))
	}
	return ch
}

func (sr storedRows) apply(ch rowChange) {
	for _, row := range ch.rows {
		if sr[row.GetId()] == nil {
			sr[row.GetId()] = map[int64]*workpb.Progress{}
		}
		sr[row.GetId()][row.GetPart()] = row
	}
	for _, pk := range ch.removed {
		delete(sr[pk.Job()], pk.Number())
	}
}

// of returns the rows of a job.
func (sr storedRows) of(id string) []*workpb.Progress {
	var out []*workpb.Progress
	for _, row := range sr[id] {
		out = append(out, row)
	}
	return out
}

func (sr storedRows) state(id string) workpb.State { return sr[id][0].GetState() }

// bytes returns the size of the largest row and of all rows.
func (sr storedRows) bytes() (largest, sum int) {
	for _, parts := range sr {
		for _, row := range parts {
			largest = max(largest, proto.Size(row))
			sum += proto.Size(row)
		}
	}
	return largest, sum
}
