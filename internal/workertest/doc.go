// Package workertest stands in for VMs that run tasks, with their leases, fencing tokens and lists, on a fake clock.
package workertest
