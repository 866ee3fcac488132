package rowstore

import (
	"encoding/base64"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Limits are the sizes beyond which a store refuses a transaction; 0 stands for no limit.
type Limits struct {
	rowBytes int
	entries  int
	txBytes  int
}

// rowOverheadBytes is what a transaction holds for each entry beside keys and value.
const rowOverheadBytes = 90

// NewLimits returns limits of the encoded value of a row in bytes, of the entries of a transaction and of its bytes.
func NewLimits(rowBytes, entries, txBytes int) Limits {
	return Limits{rowBytes: rowBytes, entries: entries, txBytes: txBytes}
}

// RowBytes returns the largest size of a row's encoded value, as EncodedLen counts it.
func (lm Limits) RowBytes() int { return lm.rowBytes }

// Entries returns the largest number of conditions, writes and deletions in a transaction.
func (lm Limits) Entries() int { return lm.entries }

// TxBytes returns the largest size of a transaction, as Tx.Bytes counts it.
func (lm Limits) TxBytes() int { return lm.txBytes }

// Check returns an error of code.TableRefused if a store with these limits refuses the transaction.
func (lm Limits) Check(tx *Tx) error {
	for _, rw := range tx.Puts() {
		if size := EncodedLen(len(rw.Value())); exceeds(size, lm.rowBytes) {
			return code.TableRefused.New("row %s/%s: expected at most %d bytes, got %d", rw.Table(), rw.Key(), lm.rowBytes, size)
		}
	}
	if count := tx.Entries(); exceeds(count, lm.entries) {
		return code.TableRefused.New("transaction: expected at most %d entries, got %d", lm.entries, count)
	}
	if size := tx.Bytes(); exceeds(size, lm.txBytes) {
		return code.TableRefused.New("transaction: expected at most %d bytes, got %d", lm.txBytes, size)
	}
	return nil
}

func exceeds(size, limit int) bool { return limit > 0 && size > limit }

// EncodedLen returns the size of a row's value of that many bytes as it is sent to the store.
func EncodedLen(bytes int) int { return base64.StdEncoding.EncodedLen(bytes) }

// PutBytes returns what the write of a row adds to the size of a transaction.
func PutBytes(table, key string, value []byte) int {
	return rowOverheadBytes + len(table) + len(key) + EncodedLen(len(value))
}

// RemoveBytes returns what the deletion of a row, or a condition on it, adds to the size of a transaction.
func RemoveBytes(table, key string) int { return rowOverheadBytes + len(table) + len(key) }
