// Package maintenancerate calculates how many VMs must be in maintenance in parallel for the whole fleet to be maintained within a period.
package maintenancerate
