// Package requestrouter issues request ids and routes each request to the entry that may run it, so that no request runs twice.
package requestrouter
