// Package intake stores the jobs that callers submit or cancel and tells their states.
package intake
