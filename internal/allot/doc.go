// Package allot apportions whole units to weights.
package allot
