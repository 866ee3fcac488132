// Package intake stores submitted jobs and cancellations and returns the states of jobs.
package intake
