// Package rowstore defines the interface of the transactional row store that holds all durable state, as functions that an adapter implements.
package rowstore
