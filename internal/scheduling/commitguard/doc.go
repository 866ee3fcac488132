// Package commitguard finds the row for which a store refuses a transaction, so that it doesn't hold back the others.
package commitguard
