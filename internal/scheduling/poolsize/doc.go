// Package poolsize decides which machines move between pools: to pools whose queues peak, and out of pools that don't need them.
package poolsize
