// Package vm models the lifecycle of one VM: its row in the table and the legal state transitions.
package vm
