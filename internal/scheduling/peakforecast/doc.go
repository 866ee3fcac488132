// Package peakforecast forecasts which service's queue peaks next when the queues peak one after the other.
package peakforecast
