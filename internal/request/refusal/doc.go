// Package refusal provides an error with a result code and the time after which the caller may retry.
package refusal
