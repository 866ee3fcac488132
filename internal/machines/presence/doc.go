// Package presence determines from the platform's VM list, which lags behind, which VMs are certainly up.
package presence
