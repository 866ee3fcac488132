// Package scheduler places queued jobs on worker VMs, renews the leases of their runs and records how they end. Only the holder of the scheduler lease acts.
package scheduler
