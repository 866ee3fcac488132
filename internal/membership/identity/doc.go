// Package identity authenticates entries and operators by mutual TLS.
package identity
