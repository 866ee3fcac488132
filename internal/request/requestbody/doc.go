// Package requestbody names the errors of request bodies that can't be read.
package requestbody
