// Package endpoint simulates an endpoint with a number of slots that can be slow, fail, break its responses or let its connections drop all data.
package endpoint
