// Package tablepb holds the generated envelope of values in the table.
package tablepb
