// Package vmsizes tracks the sizes of the fleet's VMs and detects work that fits none of them.
package vmsizes
