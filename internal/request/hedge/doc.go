// Package hedge sends hedged calls: a call that isn't answered in time is repeated while the first one is still in flight, so that a connection that doesn't answer causes little delay.
package hedge
