// Package footprint measures the cost of an idle fleet per entry: CPU time, memory, table calls and bytes between entries.
package footprint
