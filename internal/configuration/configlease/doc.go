// Package configlease is the holder's side of the configuration lease, which guarantees that no newer configuration is reported accepted while the holder may still act on its own version.
package configlease
