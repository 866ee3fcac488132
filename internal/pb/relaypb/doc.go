// Package relaypb holds the generated service by which entries call VMs for the owner of scheduling.
package relaypb
