// Package gossip keeps the names that entries spread to one another in their heartbeats.
package gossip
