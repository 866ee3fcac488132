// Package jobwork checks a job's steps, computes their critical paths, work and objective, and tells which queues have an objective.
package jobwork
