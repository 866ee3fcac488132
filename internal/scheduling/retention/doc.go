// Package retention determines when the rows of ended jobs may be deleted from the store.
package retention
