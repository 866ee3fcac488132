// Package numberset holds sets of numbers as ranges, in memory and in stored rows.
package numberset
