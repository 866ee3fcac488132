// Command standin-3 plays one case of the third independent review: it simulates the platform (store, minions, machine API, advice service) on loopback addresses, starts entry processes, submits jobs as a client and checks one rule on what it has seen.
package main
