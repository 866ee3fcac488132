// Package drain shuts down the service of callers in two phases, so that no request in flight is cut off.
package drain
