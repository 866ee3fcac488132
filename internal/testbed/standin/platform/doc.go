// Package platform simulates the platform over HTTP: its table, its object store, its VM list, which lags, and its VM actions.
package platform
