// Package progress lets callers follow the parts of an answer as they arrive, so that time limits can count silence instead of the length of the answer.
package progress
