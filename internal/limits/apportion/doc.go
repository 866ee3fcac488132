// Package apportion apportions whole units to weights.
package apportion
