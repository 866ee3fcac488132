// Package ownerload tells whether the processor of the owner of scheduling suffices for its load.
package ownerload
