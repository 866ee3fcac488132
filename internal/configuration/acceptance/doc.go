// Package acceptance decides from acknowledgements, rosters and lease expiry whether a configuration version is accepted.
package acceptance
