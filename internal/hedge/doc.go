// Package hedge repeats a call that isn't answered in time beside the first one, so that a silent connection delays nothing.
package hedge
