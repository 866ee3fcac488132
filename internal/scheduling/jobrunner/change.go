package jobrunner

import (
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// change holds the rows of one commit, encoded once so that each retry writes identical bytes.
type change struct {
	rows    []rowstore.Row
	removed []rowKey
}

// rowKey names a row that a commit deletes.
type rowKey struct{ table, key string }

func newChange(bt *jobcontrol.Batch, rows *ownerRows, removed []rowKey) (*change, error) {
	ch := &change{removed: removed}
	for _, pg := range bt.Rows() {
		at := progressKey(pg.GetId(), pg.GetPart())
		if err := ch.add(at.table, at.key, pg); err != nil {
			return nil, err
		}
	}
	for _, pk := range bt.Removed() {
		ch.removed = append(ch.removed, progressKey(pk.Job(), pk.Number()))
	}
	for _, or := range rows.list() {
		if err := ch.add(or.table, or.key, or.row); err != nil {
			return nil, err
		}
	}
	return ch, nil
}

// progressKey names the row of a part of a job's progress: the first one has a table of its own, since it holds the job's state.
func progressKey(id string, part int64) rowKey {
	if part == 0 {
		return rowKey{intake.ProgressTable, id}
	}
	return rowKey{intake.PartsTable, intake.PartKey(id, part)}
}

// without returns the change without the rows of a table.
func (ch *change) without(table string) *change {
	out := &change{removed: ch.removed}
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
	for _, at := range ch.removed {
		tx.Remove(at.table, at.key)
	}
}
