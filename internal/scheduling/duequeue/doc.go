// Package duequeue keeps the next due time of each id.
package duequeue
