// Package lag tells when a process exchanges calls with all its peers so late that another one had better do the work.
package lag
