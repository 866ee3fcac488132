// Package agenda keeps the next due time of each id.
package agenda
