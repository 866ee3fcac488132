// Package dispatch queues the requests of one service and sends them to the endpoints of its pool.
package dispatch
