// Package clockdriver advances a fake clock while real I/O goes on, so that simulated time slows down with the process when the machine is busy.
package clockdriver
