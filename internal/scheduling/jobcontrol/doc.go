// Package jobcontrol decides which task runs where and when, based on what VMs and callers report; it makes no calls itself.
//
// A controller serves one ownership: after a change of owner, the new owner builds a new controller from the stored rows. Decisions are stored before the orders that carry them out are sent.
package jobcontrol
