// Package connpool keeps the idle connections to one endpoint and decides which of them may be reused for a request.
package connpool
