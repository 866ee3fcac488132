// Package startchoice decides which waiting jobs of an overloaded pool are to be in time.
package startchoice
