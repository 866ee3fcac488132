// Package jobrunner executes the scheduling decisions of jobcontrol, maintenance and poolsize while this entry owns scheduling: it passes on changes of the store and reports from VMs and machines, commits the decisions and then sends their orders.
package jobrunner
