// Package meter counts the bytes received on a listener's connections.
package meter
