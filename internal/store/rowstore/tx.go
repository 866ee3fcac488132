package rowstore

// Tx is a transaction: conditions and changes within one partition that are applied together or not at all.
type Tx struct {
	partition string
	requires  []Row
	puts      []Row
	removes   []Row
}

// NewTx returns an empty transaction on a partition.
func NewTx(partition string) *Tx { return &Tx{partition: partition} }

// Require adds a condition: the transaction fails with code.Conflict unless the row has the version, 0 for a row that doesn't exist.
func (tx *Tx) Require(table, key string, version int64) *Tx {
	tx.requires = append(tx.requires, NewRow(table, tx.partition, key, nil, version))
	return tx
}

// Put adds the write of a row.
func (tx *Tx) Put(table, key string, value []byte) *Tx {
	tx.puts = append(tx.puts, NewRow(table, tx.partition, key, value, 0))
	return tx
}

// Remove adds the deletion of a row.
func (tx *Tx) Remove(table, key string) *Tx {
	tx.removes = append(tx.removes, NewRow(table, tx.partition, key, nil, 0))
	return tx
}

// Partition returns the partition.
func (tx *Tx) Partition() string { return tx.partition }

// Requires returns the conditions.
func (tx *Tx) Requires() []Row { return tx.requires }

// Puts returns the rows to write.
func (tx *Tx) Puts() []Row { return tx.puts }

// Removes returns the rows to delete.
func (tx *Tx) Removes() []Row { return tx.removes }

// Entries returns the number of conditions and changes.
func (tx *Tx) Entries() int { return len(tx.requires) + len(tx.puts) + len(tx.removes) }

// Bytes returns roughly how many bytes a call with the transaction sends.
func (tx *Tx) Bytes() int {
	sum := 0
	for _, rw := range tx.puts {
		sum += PutBytes(rw.Table(), rw.Key(), rw.Value())
	}
	for _, list := range [][]Row{tx.requires, tx.removes} {
		for _, rw := range list {
			sum += RemoveBytes(rw.Table(), rw.Key())
		}
	}
	return sum
}
