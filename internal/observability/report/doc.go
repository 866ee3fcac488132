// Package report formats the results of a load test and the violated guarantees as text or JSON.
package report
