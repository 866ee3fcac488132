package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Refusal is the error of a request that was not run and may succeed when retried.
type Refusal struct {
	cd           code.Code
	retryAfterMS int64
}

// minRetryAfterMS is how long a call that is refused may take, so that a caller doesn't spend its time on calls however short its estimated wait is.
const minRetryAfterMS = 20

// New returns a refusal with the time in milliseconds after which a retry may succeed, as given by After.
func New(cd code.Code, retryAfterMS int64) *Refusal {
	return &Refusal{cd: cd, retryAfterMS: After(retryAfterMS)}
}

// After returns the time in milliseconds after which a caller may come back whose estimated wait is given: never sooner than a call takes.
func After(waitMS int64) int64 { return max(waitMS, minRetryAfterMS) }

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

const (
	retryAfterHeader   = "Retry-After"
	retryAfterMSHeader = "Fulmarloft-Retry-After-Ms"
	msPerSecond        = 1000
)

// SetRetryAfter sets the headers that hold a retry time, in whole seconds and in milliseconds, unless the time is 0.
func SetRetryAfter(hd http.Header, ms int64) {
	if ms <= 0 {
		return
	}
	hd[retryAfterHeader] = []string{strconv.FormatInt((ms+msPerSecond-1)/msPerSecond, 10)}
	hd[retryAfterMSHeader] = []string{strconv.FormatInt(ms, 10)}
}
