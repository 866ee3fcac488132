package rowstore

import "context"

// Store is the seam to the store; an adapter sets its functions.
//
// Errors carry code.Conflict when a condition failed, code.TableUnavailable when certainly nothing was done, and code.TableInDoubt when a change may have been or may yet be made.
type Store struct {
	// Read returns the rows of a partition with keys from `from` up to but without `to`, all from there for an empty `to`.
	Read func(ctx context.Context, table, part, from, to string) (Page, error)
	// Partitions returns the partitions of a table.
	Partitions func(ctx context.Context, table string) ([]string, error)
	// Commit applies a transaction and returns its version; on code.Conflict it returns the current rows of the conditions.
	Commit func(ctx context.Context, tx *Tx) (int64, []Row, error)
	// Feed waits up to waitMS for rows of a table that changed after a version; code.HistoryLost says that the table must be read anew.
	Feed func(ctx context.Context, table string, after, waitMS int64) (Page, error)
}

// ReadAll returns all rows of a partition and the version of the first page.
func (st *Store) ReadAll(ctx context.Context, table, part string) ([]Row, int64, error) {
	var all []Row
	var first int64
	from := ""
	for {
		pg, err := st.Read(ctx, table, part, from, "")
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
		from = pg.Rows()[len(pg.Rows())-1].Key() + "\x00"
	}
}

// Get returns one row and whether it exists.
func (st *Store) Get(ctx context.Context, table, part, key string) (Row, bool, error) {
	pg, err := st.Read(ctx, table, part, key, key+"\x00")
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
