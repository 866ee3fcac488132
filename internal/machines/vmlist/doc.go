// Package vmlist caches the platform's list of VMs, which lags behind their real state.
package vmlist
