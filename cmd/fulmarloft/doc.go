// Command fulmarloft runs the entries of a fleet and its stand-ins, and makes the calls of operators and callers.
package main
