// Package logline reads the lines that package event writes, alone or behind a prefix of time and entry.
package logline
