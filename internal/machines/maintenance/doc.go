// Package maintenance decides which machine of a maintenance wave goes down next, so that no more machines are down at once than the wave allows and no running work is lost.
package maintenance
