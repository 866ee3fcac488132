// Package bundle defines the fleet's versioned configuration, which operators review, sign off and roll out as a whole.
package bundle
