// Package measured counts and times the calls of an entry to the store and to VMs.
package measured
