package refusal

import (
	"errors"
	"fmt"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Refusal is the error of a request that was not run and may succeed when retried.
type Refusal struct {
	cd           code.Code
	retryAfterMS int64
}

// New returns a refusal with the time in milliseconds after which a retry may succeed, which is at least 1.
func New(cd code.Code, retryAfterMS int64) *Refusal {
	return &Refusal{cd: cd, retryAfterMS: max(retryAfterMS, 1)}
}

// Error returns the code's name and the retry time.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s: retry after %d ms", rf.cd, rf.retryAfterMS)
}

// Unwrap returns the code, so that code.Of finds it.
func (rf *Refusal) Unwrap() error { return rf.cd }

// RetryAfterMS returns the retry time of an error in milliseconds, or 0 if the error has none.
func RetryAfterMS(err error) int64 {
	var rf *Refusal
	if errors.As(err, &rf) {
		return rf.retryAfterMS
	}
	return 0
}
