// Package callpb holds the generated messages of requests and answers.
package callpb
