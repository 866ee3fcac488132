// Package metric holds the counters, gauges and histograms of one process, which include the latencies per team and per service.
package metric
