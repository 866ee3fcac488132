// Package workertest simulates VMs that run tasks, with leases, fencing tokens and lists of their runs, on a clock that may be fake.
package workertest
