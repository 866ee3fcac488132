// Package rowstore describes the transactional store of rows that keeps everything that has to last, as functions that an adapter fills in.
package rowstore
