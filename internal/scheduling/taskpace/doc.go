// Package taskpace learns how fast VMs are and how long work takes relative to its estimates, and decides which runs to move or to duplicate because of it.
package taskpace
