package requestid

import (
	"strconv"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// ID names one request: the incarnation that issued it, its clock's time of issue and a number.
type ID struct {
	incarnation string
	issuedMS    int64
	seq         uint64
	single      bool
}

const (
	separator  = "-"
	base       = 36
	singleMark = "s"
	idFields   = 3
)

// New returns an id; a single one belongs to a request that came without an id, and is never accepted again.
func New(incarnation string, issuedMS int64, seq uint64, single bool) ID {
	return ID{incarnation: incarnation, issuedMS: issuedMS, seq: seq, single: single}
}

// Parse reads an id, or returns an error of code RequestIDUnissued for text of another shape.
func Parse(text string) (ID, error) {
	rest, single := strings.CutPrefix(text, singleMark+separator)
	parts := strings.Split(rest, separator)
	if len(parts) < idFields {
		return ID{}, code.RequestIDUnissued.New("expected incarnation, time and number")
	}
	last := len(parts) - 1
	ms, err := strconv.ParseInt(parts[last-1], base, 64)
	if err != nil || ms <= 0 {
		return ID{}, code.RequestIDUnissued.New("malformed time of issue")
	}
	seq, err := strconv.ParseUint(parts[last], base, 64)
	if err != nil {
		return ID{}, code.RequestIDUnissued.New("malformed number")
	}
	id := New(strings.Join(parts[:last-1], separator), ms, seq, single)
	if id.incarnation == "" || id.String() != text {
		return ID{}, code.RequestIDUnissued.New("not in the shape in which ids are issued")
	}
	return id, nil
}

// String returns the id as it stands in headers.
func (id ID) String() string {
	text := id.incarnation + separator + strconv.FormatInt(id.issuedMS, base) + separator + strconv.FormatUint(id.seq, base)
	if id.single {
		return singleMark + separator + text
	}
	return text
}

// Incarnation returns the process that issued the id.
func (id ID) Incarnation() string { return id.incarnation }

// IssuedMS returns the time of issue by the issuer's clock, in milliseconds.
func (id ID) IssuedMS() int64 { return id.issuedMS }

// Seq returns the number that tells the ids of one issuer apart.
func (id ID) Seq() uint64 { return id.seq }

// SingleUse reports whether the id belongs to a request that came without one.
func (id ID) SingleUse() bool { return id.single }
