// Package roster holds the registered entries and the older rosters whose majority may still confirm a lease.
package roster
