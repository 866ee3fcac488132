// Package sizefairness keeps large jobs of a queue from being given up for small ones without end.
package sizefairness
