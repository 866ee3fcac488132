// Package callmetrics records the number and duration of an entry's calls to the store and to VMs.
package callmetrics
