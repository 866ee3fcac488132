// Package wave models a maintenance wave: its row in the table, the VMs that it selects and its state transitions.
package wave
