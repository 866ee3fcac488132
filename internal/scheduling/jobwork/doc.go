// Package jobwork sums up the estimates of a job's steps, and tells which queues have an objective.
package jobwork
