// Package endtoend selects the end-to-end headers of an HTTP message. It leaves out hop-by-hop headers and those of fulmarloft itself.
package endtoend
