// Package waitestimate decides what the owner states about queueing delays: per service, the capacity that it has or
// can get, the work that has begun and the work that waits by team.
package waitestimate
