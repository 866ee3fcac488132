// Package turns forecasts which queue comes to its peak next, where queues peak one after the other.
package turns
