// Package claimpb holds the generated row of a request with an idempotency key.
package claimpb
