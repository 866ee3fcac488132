// Package publish commits an operator's bundle to the table as the next configuration version.
package publish
