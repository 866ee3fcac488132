// Package peer serves and makes DRPC calls between entries over pooled, optionally mutually authenticated connections.
package peer
