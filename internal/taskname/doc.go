// Package taskname names the tasks of a job.
package taskname
