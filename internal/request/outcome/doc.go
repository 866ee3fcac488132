// Package outcome decides whether a request was answered, was not run, or has an unknown outcome.
package outcome
