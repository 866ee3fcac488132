// Package recorder records in the stand-in servers which requests and runs were executed, independently of the program under test.
package recorder
