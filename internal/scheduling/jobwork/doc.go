// Package jobwork sums up the estimates of a job's steps.
package jobwork
