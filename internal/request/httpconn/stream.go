package httpconn

import (
	"net"

	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// output is the only writer to the connection; it marks the attempt as sent before the first byte can be sent.
type output struct {
	nc net.Conn
	at *outcome.Attempt
}

func (ou *output) Write(raw []byte) (int, error) {
	ou.at.MarkSent()
	return ou.nc.Write(raw)
}

// input limits the size of a response header.
type input struct {
	nc   net.Conn
	left int64
}

func (ip *input) Read(raw []byte) (int, error) {
	if ip.left <= 0 {
		return 0, code.AnswerTooLarge.New("response header: expected at most %d bytes", maxHeaderBytes)
	}
	if int64(len(raw)) > ip.left {
		raw = raw[:ip.left]
	}
	n, err := ip.nc.Read(raw)
	ip.left -= int64(n)
	return n, err
}
