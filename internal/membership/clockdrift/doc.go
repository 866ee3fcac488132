// Package clockdrift corrects durations for the clock drift between two machines.
package clockdrift
