// Package upkeep decides which machine of a maintenance wave goes down next, so that no more than the wave allows are down at once and nothing at work is lost.
package upkeep
