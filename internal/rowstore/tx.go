package rowstore

// Tx is a set of changes within one partition that are applied together or not at all.
type Tx struct {
	part     string
	requires []Row
	puts     []Row
	removes  []Row
}

// MaxChanges is the most entries of one transaction, conditions included.
const MaxChanges = 100

// NewTx returns an empty transaction on a partition.
func NewTx(part string) *Tx { return &Tx{part: part} }

// Require makes the transaction fail with code.Conflict unless the row has the version, 0 for a row that doesn't exist.
func (tx *Tx) Require(table, key string, version int64) *Tx {
	tx.requires = append(tx.requires, NewRow(table, tx.part, key, nil, version))
	return tx
}

// Put writes a row.
func (tx *Tx) Put(table, key string, value []byte) *Tx {
	tx.puts = append(tx.puts, NewRow(table, tx.part, key, value, 0))
	return tx
}

// Remove deletes a row.
func (tx *Tx) Remove(table, key string) *Tx {
	tx.removes = append(tx.removes, NewRow(table, tx.part, key, nil, 0))
	return tx
}

// Partition returns the partition.
func (tx *Tx) Partition() string { return tx.part }

// Requires returns the conditions.
func (tx *Tx) Requires() []Row { return tx.requires }

// Puts returns the rows to write.
func (tx *Tx) Puts() []Row { return tx.puts }

// Removes returns the rows to delete.
func (tx *Tx) Removes() []Row { return tx.removes }
