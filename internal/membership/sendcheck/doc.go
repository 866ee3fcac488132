// Package sendcheck attaches to a call the check of the permission that it needs, so that a client makes it right before the first byte is sent, however long it waited for a connection.
package sendcheck
