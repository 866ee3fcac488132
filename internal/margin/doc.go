// Package margin corrects durations for the clock drift between two machines.
package margin
