package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Conn is one connection to an endpoint; it carries one exchange at a time.
type Conn struct {
	ck            *clock.Clock
	nc            net.Conn
	raw           syscall.RawConn
	probe         func(fd uintptr) bool
	alive         bool
	in            *input
	br            *bufio.Reader
	out           *output
	bw            *bufio.Writer
	lastSuccessMS int64
	unusable      bool
}

const (
	maxHeaderBytes = 64 << 10
	bufferBytes    = 4 << 10
	maxInlineBytes = 64 << 10
	// A deadline at this Unix time has already passed, so that setting it interrupts reads and writes.
	expiredUnix = 1
)

// New returns a Conn over a connection that was just opened, which counts as a success.
func New(ck *clock.Clock, nc net.Conn) *Conn {
	cn := &Conn{ck: ck, nc: nc, in: &input{nc: nc}, out: &output{nc: nc}, lastSuccessMS: ck.Now()}
	cn.br = bufio.NewReaderSize(cn.in, bufferBytes)
	cn.bw = bufio.NewWriterSize(cn.out, bufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	cn.probe = cn.tryRead
	return cn
}

// LastSuccessMS returns when the connection last worked: when it was opened or when its last complete response arrived.
func (cn *Conn) LastSuccessMS() int64 { return cn.lastSuccessMS }

// Reusable reports whether another exchange may follow; it is false if the last one did not end cleanly with a complete response.
func (cn *Conn) Reusable() bool { return !cn.unusable }

// Close closes the connection.
func (cn *Conn) Close() { _ = cn.nc.Close() }

// Alive reports whether an idle connection is still open and holds no unsolicited bytes.
func (cn *Conn) Alive() bool {
	if cn.raw == nil || cn.br.Buffered() > 0 {
		return false
	}
	cn.alive = false
	if err := cn.raw.Read(cn.probe); err != nil {
		return false
	}
	return cn.alive
}

// Exchange sends the request once and returns the response with its complete body. An error has the code that applies to the attempt if any bytes were sent.
func (cn *Conn) Exchange(ctx context.Context, req *http.Request, maxBytes int64, at *outcome.Attempt) (*http.Response, []byte, error) {
	cn.unusable = true
	cn.out.at = at
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(expiredUnix, 0)) })
	written := cn.send(req, at)
	res, answer, err := cn.receive(req, maxBytes, at)
	notInterrupted := stop()
	if err != nil {
		if ctx.Err() != nil {
			err = code.AnswerTimeout.Wrap(err)
		}
		return nil, nil, err
	}
	cn.lastSuccessMS = cn.ck.Now()
	cn.unusable = !notInterrupted || !written() || res.Close || cn.br.Buffered() > 0
	return res, answer, nil
}

// send writes a small request before it returns, and a large one in the background, because the endpoint may respond before it has read the body; written reports whether the request has been written completely.
func (cn *Conn) send(req *http.Request, at *outcome.Attempt) (written func() bool) {
	if req.ContentLength <= maxInlineBytes {
		if cn.write(req) == nil {
			return alwaysTrue
		}
		return alwaysFalse
	}
	at.MarkSent()
	var complete atomic.Bool
	go func() { complete.Store(cn.write(req) == nil) }()
	return complete.Load
}

func alwaysTrue() bool { return true }

func alwaysFalse() bool { return false }

func (cn *Conn) write(req *http.Request) error {
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

func (cn *Conn) receive(req *http.Request, maxBytes int64, at *outcome.Attempt) (*http.Response, []byte, error) {
	if !at.Unknown() {
		return nil, nil, code.HeaderMalformed.New("the request cannot be encoded as HTTP/1.1")
	}
	res, err := cn.readHeader(req)
	if err != nil {
		return nil, nil, err
	}
	answer, err := cn.readBody(res, req.Method, maxBytes)
	return res, answer, err
}

// readHeader skips informational responses.
func (cn *Conn) readHeader(req *http.Request) (*http.Response, error) {
	for {
		cn.in.left = maxHeaderBytes
		res, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, readError(err)
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, code.AnswerBroken.New("unexpected status %d", res.StatusCode)
		}
	}
}

func (cn *Conn) readBody(res *http.Response, method string, maxBytes int64) ([]byte, error) {
	cn.in.left = math.MaxInt64
	if method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if res.ContentLength > maxBytes {
		return nil, code.AnswerTooLarge.New("response body of %d bytes: expected at most %d", res.ContentLength, maxBytes)
	}
	if res.ContentLength >= 0 {
		answer := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, answer); err != nil {
			return nil, code.AnswerBroken.New("cannot read the response body: %w", err)
		}
		return answer, nil
	}
	if len(res.TransferEncoding) == 0 {
		return nil, code.AnswerBroken.New("response has neither Content-Length nor chunked encoding: the end of its body cannot be told from a broken connection")
	}
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err != nil {
		return nil, code.AnswerBroken.New("cannot read the response body: %w", err)
	}
	if int64(len(answer)) > maxBytes {
		return nil, code.AnswerTooLarge.New("response body: expected at most %d bytes", maxBytes)
	}
	return answer, nil
}

// tryRead reads one byte without blocking; the connection is alive if no byte is available.
func (cn *Conn) tryRead(fd uintptr) bool {
	var one [1]byte
	_, err := syscall.Read(int(fd), one[:])
	cn.alive = errors.Is(err, syscall.EAGAIN)
	return true
}

// readError distinguishes a connection that ended before the response began from a response that can't be parsed.
func readError(err error) error {
	if code.Of(err) != code.Internal {
		return err
	}
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) {
		return code.MayHaveRun.New("cannot read the response header: %w", err)
	}
	return code.AnswerBroken.New("cannot read the response header: %w", err)
}
