// Package reclaim decides which runs are throttled, checkpointed or stopped on a worker that is used beyond its capacity.
package reclaim
