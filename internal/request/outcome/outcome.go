package outcome

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Attempt is the outcome of one attempt of a request at one endpoint. It starts as not run; an unknown outcome becomes not run again only by the endpoint's statement that it did not start the request.
type Attempt struct {
	mu    sync.Mutex
	state state
	cd    code.Code
	// reason is why nothing was sent, nil if there is no more to say than the code.
	reason error
}

type state int

const (
	notRun state = iota
	unknown
	answered
)

// New returns an attempt for which nothing has been sent.
func New() *Attempt {
	return &Attempt{state: notRun, cd: code.NoEndpoint}
}

// MarkSent records that the first byte may be about to be sent; call it before the byte is written.
func (at *Attempt) MarkSent() {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.state == notRun {
		at.state = unknown
		at.cd = code.MayHaveRun
	}
}

// Fail records the code of an attempt that ended without a complete answer: ifNotSent if nothing was sent, which leaves the outcome not run, or else ifSent.
func (at *Attempt) Fail(ifNotSent, ifSent code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.state {
	case notRun:
		at.cd = ifNotSent
	case unknown:
		at.cd = ifSent
	case answered:
	}
}

// Refuse records the error because of which nothing was sent, with its code.
func (at *Attempt) Refuse(err error) {
	at.Fail(code.Of(err), code.MayHaveRun)
	at.mu.Lock()
	defer at.mu.Unlock()
	at.reason = err
}

// Detail returns the text of the error because of which nothing was sent, empty if there is none.
func (at *Attempt) Detail() string {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.reason == nil {
		return ""
	}
	return at.reason.Error()
}

// MarkNotStarted records the endpoint's statement that it did not start the request.
func (at *Attempt) MarkNotStarted(cd code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.state == answered {
		return
	}
	at.state = notRun
	at.cd = cd
}

// Answer records that the complete answer arrived.
func (at *Attempt) Answer(cd code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.state = answered
	at.cd = cd
}

// NotRun reports whether it is certain that the request did not run.
func (at *Attempt) NotRun() bool { return at.is(notRun) }

// Unknown reports whether the request may have run without a complete answer.
func (at *Attempt) Unknown() bool { return at.is(unknown) }

// Answered reports whether the complete answer arrived.
func (at *Attempt) Answered() bool { return at.is(answered) }

// Code returns the result code of the attempt.
func (at *Attempt) Code() code.Code {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.cd
}

// String returns the outcome as written to headers and logs.
func (at *Attempt) String() string {
	at.mu.Lock()
	defer at.mu.Unlock()
	return [...]string{notRun: "not-run", unknown: "unknown", answered: "answered"}[at.state]
}

func (at *Attempt) is(st state) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.state == st
}
