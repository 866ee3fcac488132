// Package breaker implements a circuit breaker: it stops calls to a service that fails, and lets single trial calls through until the service works again.
package breaker
