// Package endpoint exchanges HTTP messages with endpoints: it sends a request at most once and accepts only a complete response.
package endpoint
