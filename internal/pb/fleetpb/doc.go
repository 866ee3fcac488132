// Package fleetpb holds the generated messages of the rows about VMs, pools and waves.
package fleetpb
