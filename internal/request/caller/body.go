package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	bodyTimeoutMS  = 10_000
	writeTimeoutMS = 30_000
	// A deadline at this Unix time has already passed, so that setting it interrupts reads and writes.
	expiredUnix = 1
)

// readBody reads a body of at most maxBytes bytes; it returns an error if the body is not complete within bodyTimeoutMS.
func readBody(ck *clock.Clock, wr http.ResponseWriter, rq *http.Request, maxBytes int64) ([]byte, error) {
	if rq.ContentLength > maxBytes {
		return nil, code.BodyTooLarge.New("body of %d bytes: expected at most %d", rq.ContentLength, maxBytes)
	}
	if rq.ContentLength == 0 {
		return nil, nil
	}
	stop := interruptAfter(ck, bodyTimeoutMS, http.NewResponseController(wr).SetReadDeadline)
	raw, err := readAll(rq, maxBytes)
	stop()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, code.BodyBroken.New("expected the complete body within %d ms", bodyTimeoutMS)
	}
	if err != nil {
		return nil, code.BodyBroken.New("cannot read the request body: %w", err)
	}
	if int64(len(raw)) > maxBytes {
		return nil, code.BodyTooLarge.New("body: expected at most %d bytes", maxBytes)
	}
	return raw, nil
}

func readAll(rq *http.Request, maxBytes int64) ([]byte, error) {
	if rq.ContentLength > 0 {
		raw := make([]byte, rq.ContentLength)
		_, err := io.ReadFull(rq.Body, raw)
		return raw, err
	}
	return io.ReadAll(io.LimitReader(rq.Body, maxBytes+1))
}

// interruptAfter interrupts the reads or writes of a connection after the given time; it has no effect any more once stop has returned.
func interruptAfter(ck *clock.Clock, ms int64, set func(time.Time) error) (stop func()) {
	var mu sync.Mutex
	stopped := false
	cancel := ck.AfterFunc(ms, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			_ = set(time.Unix(expiredUnix, 0))
		}
	})
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
}
