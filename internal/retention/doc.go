// Package retention decides when the rows of jobs that are over leave the store.
package retention
