// Package table is a client of the platform's transactional table service, with a call budget, a circuit breaker, retries and the resolution of commits in doubt.
package table
