// Package forwardpb holds the generated service that passes requests between entries.
package forwardpb
