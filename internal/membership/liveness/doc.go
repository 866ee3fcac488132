// Package liveness keeps one entry's view of the other entries: which of them are alive and which to send heartbeats and updates to.
package liveness
