// Package idempotencykey runs requests with idempotency keys that callers choose: each key is claimed by a row of the table before its request is dispatched.
package idempotencykey
