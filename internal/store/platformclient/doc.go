// Package platformclient is a client of the platform's services, which are called over HTTP with protobuf bodies: table, object store, VM list, VM actions and workers.
package platformclient
