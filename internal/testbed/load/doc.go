// Package load sends open-loop load to entries and records the outcomes and latencies per team.
package load
