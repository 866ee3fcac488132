// Package ownership decides which entry schedules: one row in the store names the owner, and each of the owner's commits is conditional on it.
package ownership
