// Package leavingpb holds the generated messages about VMs that are leaving.
package leavingpb
