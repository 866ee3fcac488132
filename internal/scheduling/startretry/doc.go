// Package startretry decides when the start of a run, or a poll, is sent again because no answer has come.
package startretry
