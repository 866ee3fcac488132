// Package leaseset maintains the leases that one process requests, each stored as a row of the table.
package leaseset
