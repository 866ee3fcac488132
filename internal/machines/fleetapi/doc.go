// Package fleetapi serves the operators' HTTP API for VMs, pools and maintenance waves.
package fleetapi
