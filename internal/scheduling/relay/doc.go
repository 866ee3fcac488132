// Package relay lets the owner of scheduling call VMs through other entries, so that its own link and connections don't limit the size of the fleet.
//
// A call that can't be passed on is made directly. A call that was passed on and got no answer may have been made.
package relay
