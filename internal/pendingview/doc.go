// Package pendingview tells how many jobs of a queue wait, from the counts that the scheduling entry stores.
package pendingview
