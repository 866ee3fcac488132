// Package startwindow limits how many starts are under way at once by how fast VMs answer, so that a burst of starts doesn't delay the renewal of run leases on a slow link or machine.
package startwindow
