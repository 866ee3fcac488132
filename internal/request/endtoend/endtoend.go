package endtoend

import (
	"net/http"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
)

const ownPrefix = "Fulmarloft-"

// Headers returns the headers that are forwarded between caller and endpoint, one for each value.
func Headers(hd http.Header) []*callpb.Header {
	dropped := connectionNames(hd)
	// The headers are allocated in blocks of len(hd), which is one block unless a name has several values.
	lines := make([]callpb.Header, 0, len(hd))
	list := make([]*callpb.Header, 0, len(hd))
	for name, vals := range hd {
		if hopByHop(name) || dropped[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, val := range vals {
			if len(lines) == cap(lines) {
				lines = make([]callpb.Header, 0, len(hd))
			}
			lines = lines[:len(lines)+1]
			ln := &lines[len(lines)-1]
			ln.Name, ln.Value = name, val
			list = append(list, ln)
		}
	}
	return list
}

// connectionNames returns the names that the Connection header lists as hop-by-hop.
func connectionNames(hd http.Header) map[string]bool {
	var dropped map[string]bool
	for _, line := range hd["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if dropped == nil {
				dropped = map[string]bool{}
			}
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}

// hopByHop reports whether a header applies to a single connection or is set by the HTTP library for each message.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect":
		return true
	}
	return false
}
