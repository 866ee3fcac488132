// Package identitytest issues TLS certificates for tests.
package identitytest
