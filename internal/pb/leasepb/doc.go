// Package leasepb holds the generated message of a lease row.
package leasepb
