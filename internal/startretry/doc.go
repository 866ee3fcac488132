// Package startretry decides when the start of a run is sent again because no answer has come.
package startretry
