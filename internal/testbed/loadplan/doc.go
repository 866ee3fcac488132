// Package loadplan reads the YAML plan of a load test.
package loadplan
