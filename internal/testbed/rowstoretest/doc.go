// Package rowstoretest provides an in-memory row store for tests, which can simulate lost answers, late commits, outages and dropped change history.
package rowstoretest
