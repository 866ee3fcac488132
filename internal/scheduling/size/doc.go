// Package size describes the resources of VMs and the needs of work: CPU cores, memory and accelerators.
package size
