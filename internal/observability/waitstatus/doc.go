// Package waitstatus shows the owner's estimates of queueing delays in metrics and in its status.
package waitstatus
