// Package wavestep decides what a maintenance wave does next in one pool.
package wavestep
