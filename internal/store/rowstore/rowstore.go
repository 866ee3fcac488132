package rowstore

import (
	"context"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Store holds the calls to the store; an adapter sets its functions.
//
// Errors carry code.Conflict if a condition failed, code.TableUnavailable if certainly nothing was changed, code.TableRefused if the store never applies the transaction as it is, and code.TableInDoubt if a change may have taken effect or may still do so.
type Store struct {
	// Limits are the sizes that a transaction must keep to.
	Limits Limits
	// Read returns the rows of a partition whose keys are at least `from` and less than `to`; an empty `to` sets no upper bound.
	Read func(ctx context.Context, table, partition, from, to string) (Page, error)
	// Partitions returns the partitions of a table.
	Partitions func(ctx context.Context, table string) ([]string, error)
	// Commit applies a transaction and returns its version; with an error of code.Conflict it returns the current rows of the conditions.
	Commit func(ctx context.Context, tx *Tx) (int64, []Row, error)
	// Feed waits up to waitMS for rows of a table that changed after a version; code.HistoryLost means that the store has dropped those changes and the table must be read again.
	Feed func(ctx context.Context, table string, after, waitMS int64) (Page, error)
}

// ReadAll returns all rows of a partition and the version of the first page, so that a feed from that version misses no change.
func (st *Store) ReadAll(ctx context.Context, table, partition string) ([]Row, int64, error) {
	var all []Row
	var first int64
	from := ""
	for {
		pg, err := st.Read(ctx, table, partition, from, "")
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = pg.Version()
		}
		all = append(all, pg.Rows()...)
		if !pg.More() || len(pg.Rows()) == 0 {
			return all, first, nil
		}
		if from, err = pg.NextKey(from); err != nil {
			return nil, 0, err
		}
	}
}

// NextKey returns the first key after the page's rows, of which there is at least one; it is an error if these rows don't advance beyond from, the first key that was asked for.
func (pg Page) NextKey(from string) (string, error) {
	last := pg.Rows()[len(pg.Rows())-1].Key()
	if last < from {
		return "", code.TableUnavailable.New("the rows from %q end with %q", from, last)
	}
	return last + "\x00", nil
}

// Get returns one row, and false if it doesn't exist.
func (st *Store) Get(ctx context.Context, table, partition, key string) (Row, bool, error) {
	pg, err := st.Read(ctx, table, partition, key, key+"\x00")
	if err != nil {
		return Row{}, false, err
	}
	for _, rw := range pg.Rows() {
		if rw.Key() == key {
			return rw, true, nil
		}
	}
	return Row{}, false, nil
}
