// Package worker simulates a worker of the platform, which runs tasks under leases and reports their usage with a lag.
package worker
