// Package leaserow holds a named lease through a row of the table, without comparing the clocks of two machines.
package leaserow
