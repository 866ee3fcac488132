// Package jobcontrol decides which task runs where and when, from what VMs and callers report; it makes no calls itself.
//
// A controller serves one ownership: a change of owner starts a new one from the stored rows. What it decides is stored first and ordered afterwards.
package jobcontrol
