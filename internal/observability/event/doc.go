// Package event writes structured logs, one line of key=value pairs per event.
package event
