// Package poolsize decides which machines move between pools: to queues at their peak, and out of pools that don't need them.
package poolsize
