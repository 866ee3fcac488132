//go:build review

// Command standin plays the cases of the review: it simulates the platform's store, its machines and its clients on loopback addresses, starts the project's entries as separate processes and checks one rule.
package main
