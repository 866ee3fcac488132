package refusal

import (
	"errors"
	"fmt"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Refusal is an error of a request that was not run and may succeed later.
type Refusal struct {
	cd      code.Code
	afterMS int64
}

// New returns a refusal with the time in milliseconds after which a repeat may succeed, at least one.
func New(cd code.Code, afterMS int64) *Refusal {
	return &Refusal{cd: cd, afterMS: max(afterMS, 1)}
}

// Error returns the code's name and the time to wait.
func (rf *Refusal) Error() string { return fmt.Sprintf("%s: come back after %d ms", rf.cd, rf.afterMS) }

// Unwrap returns the code, so that code.Of finds it.
func (rf *Refusal) Unwrap() error { return rf.cd }

// RetryAfterMS returns the time to wait that an error carries, 0 when it carries none.
func RetryAfterMS(err error) int64 {
	var rf *Refusal
	if errors.As(err, &rf) {
		return rf.afterMS
	}
	return 0
}
