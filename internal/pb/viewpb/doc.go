// Package viewpb holds the generated messages by which an entry gets the last known VMs from another entry.
package viewpb
