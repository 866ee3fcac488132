// Package dispatch queues the requests of one service and carries them to the endpoints of its pool.
package dispatch
