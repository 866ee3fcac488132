// Package pool describes a pool of VMs and how many of them may be unavailable at once.
package pool
