// Package keyring looks up the team of a key in a bundle.
package keyring
