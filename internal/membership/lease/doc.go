// Package lease implements the timing rules of all leases: when a lease has expired for its holder, when another process may take over, and the fencing token for effects.
package lease
