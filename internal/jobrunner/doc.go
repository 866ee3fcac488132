// Package jobrunner runs the decisions of jobcontrol and upkeep while this entry owns scheduling: it feeds them with what the store, the VMs and the machines say, stores what they decide and sends their orders.
package jobrunner
