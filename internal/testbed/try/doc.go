// Package try runs a small fleet under load and faults for some seconds and reports which guarantees held.
package try
