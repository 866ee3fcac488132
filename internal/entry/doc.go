// Package entry assembles the components of an entry process and runs them.
package entry
