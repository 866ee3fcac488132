package scenario

import (
	"io"
	"os"
	"path/filepath"
)

// logWriter returns a file of the scenario's name in the folder that FULMARLOFT_LOG names, so that a failing scenario can be followed.
func (sc *scenario) logWriter() io.Writer {
	dir := os.Getenv("FULMARLOFT_LOG")
	if dir == "" {
		return io.Discard
	}
	out, err := os.Create(filepath.Join(dir, sc.ts.Name()+".log"))
	sc.check(err)
	return out
}
