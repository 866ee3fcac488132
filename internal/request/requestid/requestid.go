package requestid

import (
	"strconv"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// ID identifies one request by the incarnation that issued the id, the time of issue by its clock, and a sequence number.
type ID struct {
	incarnation string
	issuedMS    int64
	seq         uint64
	singleUse   bool
}

const (
	separator       = "-"
	base            = 36
	singleUsePrefix = "s"
	minFields       = 3
)

// New returns an id; a single-use id is issued for a request that came without one, and a repeat with this id is never run.
func New(incarnation string, issuedMS int64, seq uint64, singleUse bool) ID {
	return ID{incarnation: incarnation, issuedMS: issuedMS, seq: seq, singleUse: singleUse}
}

// Parse parses an id; text in another format is an error of code RequestIDUnissued.
func Parse(text string) (ID, error) {
	rest, singleUse := strings.CutPrefix(text, singleUsePrefix+separator)
	parts := strings.Split(rest, separator)
	if len(parts) < minFields {
		return ID{}, code.RequestIDUnissued.New("request id: expected incarnation, time of issue and sequence number")
	}
	last := len(parts) - 1
	ms, err := strconv.ParseInt(parts[last-1], base, 64)
	if err != nil || ms <= 0 {
		return ID{}, code.RequestIDUnissued.New("request id: malformed time of issue %q", parts[last-1])
	}
	seq, err := strconv.ParseUint(parts[last], base, 64)
	if err != nil {
		return ID{}, code.RequestIDUnissued.New("request id: malformed sequence number %q", parts[last])
	}
	id := New(strings.Join(parts[:last-1], separator), ms, seq, singleUse)
	if id.incarnation == "" || id.String() != text {
		return ID{}, code.RequestIDUnissued.New("request id %q is not in canonical form", text)
	}
	return id, nil
}

// String returns the id in the format used in headers.
func (id ID) String() string {
	text := id.incarnation + separator + strconv.FormatInt(id.issuedMS, base) + separator + strconv.FormatUint(id.seq, base)
	if id.singleUse {
		return singleUsePrefix + separator + text
	}
	return text
}

// Incarnation returns the incarnation that issued the id.
func (id ID) Incarnation() string { return id.incarnation }

// IssuedMS returns the time of issue by the issuer's clock, in milliseconds.
func (id ID) IssuedMS() int64 { return id.issuedMS }

// Seq returns the issuer's sequence number.
func (id ID) Seq() uint64 { return id.seq }

// SingleUse reports whether the id was issued for a request that came without one.
func (id ID) SingleUse() bool { return id.singleUse }
