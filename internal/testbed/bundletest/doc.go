// Package bundletest builds configuration bundles and their sign-offs for tests and benchmarks.
package bundletest
