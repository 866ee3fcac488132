// Package pendingview reports how many jobs of a queue are waiting, from the counts that the scheduling entry stores.
package pendingview
