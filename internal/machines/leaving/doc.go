// Package leaving keeps the set of VM incarnations that are leaving, so that a lagging VM list can't make one eligible for work again.
package leaving
