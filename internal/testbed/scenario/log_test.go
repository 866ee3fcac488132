package scenario

import (
	"io"
	"os"
	"path/filepath"
)

// logWriter returns a log file named after the script in the directory that the environment variable FULMARLOFT_LOG names; if it isn't set, the log is discarded. The log shows how a failed script went wrong.
func (sc *scenario) logWriter() io.Writer {
	dir := os.Getenv("FULMARLOFT_LOG")
	if dir == "" {
		return io.Discard
	}
	out, err := os.Create(filepath.Join(dir, sc.ts.Name()+".log"))
	sc.check(err)
	return out
}
