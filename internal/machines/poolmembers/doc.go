// Package poolmembers represents which VMs belong to a pool and which of them are unavailable for planned reasons.
package poolmembers
