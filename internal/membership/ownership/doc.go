// Package ownership elects the entry that schedules: one row in the store names the owner, and each commit of the owner is conditional on that row and renews its lease.
package ownership
