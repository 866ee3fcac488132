// Package rowstoretest stands in for the store of rows, with lost and late answers, outages and dropped history.
package rowstoretest
