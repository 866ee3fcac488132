package yamlpos

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
)

// Line returns the line of the value at a path such as limits.memory_mb or ports[1], or of its nearest parent; 1 if there is neither.
func Line(raw []byte, path string) int {
	for path != "" {
		if line, ok := lineOf(raw, path); ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func lineOf(raw []byte, path string) (int, bool) {
	at, err := yaml.PathString("$." + path)
	if err != nil {
		return 0, false
	}
	nd, err := at.ReadNode(bytes.NewReader(raw))
	if err != nil || nd == nil || nd.GetToken() == nil {
		return 0, false
	}
	return nd.GetToken().Position.Line, true
}

// Describe returns the line and message of a decoder's error, without its excerpt of the file.
func Describe(err error) string {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return err.Error()
	}
	return fmt.Sprintf("line %d: %s", located.GetToken().Position.Line, located.GetMessage())
}
