// Package loadstats counts the outcomes and measures the latency of one team's requests.
package loadstats
