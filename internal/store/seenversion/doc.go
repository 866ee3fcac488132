// Package seenversion tracks the newest version of the store that any answer to this process has shown.
package seenversion
