package requestbody

import (
	"errors"
	"net/http"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Error returns the error of a body that couldn't be read or decoded: BodyTooLarge if it exceeds the limit of its http.MaxBytesReader, otherwise one of the given code.
func Error(err error, otherwise code.Code) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.BodyTooLarge.New("request body: expected at most %d bytes", tooLarge.Limit)
	}
	return otherwise.New("cannot read the request body: %w", err)
}
