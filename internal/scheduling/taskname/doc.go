// Package taskname formats and parses the names of a job's tasks, such as job-1.0.2.5 for occurrence 0, step 2 and task 5.
package taskname
