// Package jobpb holds the generated rows of jobs and the messages of their API.
package jobpb
