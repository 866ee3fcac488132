// Package memtable provides an in-memory stand-in for the platform's table service, with fault injection.
package memtable
