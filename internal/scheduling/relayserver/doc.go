// Package relayserver makes calls to VMs on behalf of the owner of scheduling, which passes them on when its own network link can't carry them all.
package relayserver
