// Package job implements the state machine of one job; every transition is idempotent.
package job
