// Package bundledelta encodes a version of a bundle as the difference to an earlier one.
package bundledelta
