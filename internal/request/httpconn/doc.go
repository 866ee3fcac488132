// Package httpconn exchanges requests and complete responses over one HTTP/1.1 connection and never sends a request twice.
package httpconn
