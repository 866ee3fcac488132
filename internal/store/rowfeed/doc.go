// Package rowfeed reads the change feed of one table of the store, and recovers from outages and from gaps in the store's change history.
package rowfeed
