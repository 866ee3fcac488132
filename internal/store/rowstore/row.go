package rowstore

// Row is one row of the store, or the tombstone of a deleted one.
type Row struct {
	table     string
	partition string
	key       string
	value     []byte
	version   int64
	deleted   bool
}

// NewRow returns a row as read from the store.
func NewRow(table, partition, key string, value []byte, version int64) Row {
	return Row{table: table, partition: partition, key: key, value: value, version: version}
}

// NewTombstone returns the row that a feed delivers for a deletion.
func NewTombstone(table, partition, key string, version int64) Row {
	return Row{table: table, partition: partition, key: key, version: version, deleted: true}
}

// Table returns the row's table.
func (rw Row) Table() string { return rw.table }

// Partition returns the partition within the table.
func (rw Row) Partition() string { return rw.partition }

// Key returns the row's key.
func (rw Row) Key() string { return rw.key }

// Value returns the row's value, which must not be changed.
func (rw Row) Value() []byte { return rw.value }

// Version returns the version of the transaction that wrote the row.
func (rw Row) Version() int64 { return rw.version }

// Deleted reports whether the row is a tombstone.
func (rw Row) Deleted() bool { return rw.deleted }
