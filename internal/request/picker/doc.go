// Package picker selects the endpoint of a pool for the next request.
package picker
