package outcome

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Attempt is one try of a request at one endpoint; it starts as not run, and no call turns an unknown outcome back into not run without proof.
type Attempt struct {
	mu    sync.Mutex
	state state
	cd    code.Code
}

type state int

const (
	notRun state = iota
	unknown
	answered
)

// New returns an attempt of which nothing was sent.
func New() *Attempt {
	return &Attempt{state: notRun, cd: code.NoEndpoint}
}

// MarkSent records that the first byte may be about to leave; call it before the byte is written.
func (at *Attempt) MarkSent() {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.state == notRun {
		at.state = unknown
		at.cd = code.MayHaveRun
	}
}

// Fail records why the attempt ended without a whole answer; the outcome stays not run only if nothing was sent.
func (at *Attempt) Fail(before, after code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.state {
	case notRun:
		at.cd = before
	case unknown:
		at.cd = after
	case answered:
	}
}

// MarkNotStarted records the endpoint's own word that it did not start the request.
func (at *Attempt) MarkNotStarted(cd code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.state == answered {
		return
	}
	at.state = notRun
	at.cd = cd
}

// Answer records that the whole answer arrived.
func (at *Attempt) Answer(cd code.Code) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.state = answered
	at.cd = cd
}

// NotRun reports whether it is certain that the request did not run.
func (at *Attempt) NotRun() bool { return at.is(notRun) }

// Unknown reports whether the request may have run without a whole answer.
func (at *Attempt) Unknown() bool { return at.is(unknown) }

// Answered reports whether the whole answer arrived.
func (at *Attempt) Answered() bool { return at.is(answered) }

// Code returns the result code that goes with the outcome.
func (at *Attempt) Code() code.Code {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.cd
}

// String returns the outcome as it stands in headers and logs.
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
