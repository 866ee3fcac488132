// Package baseline provides a minimal forwarding proxy as the baseline for measuring the cost of the request path.
package baseline
