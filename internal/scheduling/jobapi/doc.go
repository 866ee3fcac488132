// Package jobapi serves the callers' HTTP API to submit jobs, query their state and cancel them.
package jobapi
