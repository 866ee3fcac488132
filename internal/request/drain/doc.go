// Package drain stops serving callers in two phases, so that no request in flight is cut off.
package drain
