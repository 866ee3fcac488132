// Package property runs property tests with a fixed seed, so that they are reproducible, unless the flag rapid.seed gives another.
package property
