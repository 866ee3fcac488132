// Package local runs a small fleet with platform, endpoints, workers and entries in one process over loopback, for trials, scenarios and measurements.
package local
