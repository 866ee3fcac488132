package rowstore

// Row is one row of the store.
type Row struct {
	table   string
	part    string
	key     string
	value   []byte
	version int64
	deleted bool
}

// NewRow returns a row as read from the store.
func NewRow(table, part, key string, value []byte, version int64) Row {
	return Row{table: table, part: part, key: key, value: value, version: version}
}

// NewTombstone returns the mark that a feed delivers for a deleted row.
func NewTombstone(table, part, key string, version int64) Row {
	return Row{table: table, part: part, key: key, version: version, deleted: true}
}

// Table returns the row's table.
func (rw Row) Table() string { return rw.table }

// Partition returns the partition within the table.
func (rw Row) Partition() string { return rw.part }

// Key returns the row's key.
func (rw Row) Key() string { return rw.key }

// Value returns the row's value, which must not be changed.
func (rw Row) Value() []byte { return rw.value }

// Version returns the version of the transaction that wrote the row.
func (rw Row) Version() int64 { return rw.version }

// Deleted reports whether the row is the mark of a deletion.
func (rw Row) Deleted() bool { return rw.deleted }
