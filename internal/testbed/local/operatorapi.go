package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// CallOperatorAPI calls the operator API of the first entry with a new operation id and returns the body of the response.
func (fl *Fleet) CallOperatorAPI(ctx context.Context, method, path, body string) ([]byte, error) {
	fl.mu.Lock()
	fl.operatorCalls++
	operation := fmt.Sprintf("%s-%s-%d", method, path, fl.operatorCalls)
	fl.mu.Unlock()
	list := fl.Entries()
	if len(list) == 0 {
		return nil, code.PeerUnreachable.New("no entry is running")
	}
	rq, err := fl.operatorRequest(ctx, list[0], method, path, operation, []byte(body))
	if err != nil {
		return nil, err
	}
	res, err := fl.hc.Do(rq)
	if err != nil {
		return nil, code.PeerUnreachable.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, code.PeerUnreachable.Wrap(err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, code.Conflict.New("%s %s: unexpected status %d: %s", method, path, res.StatusCode, raw)
	}
	return raw, nil
}

// operatorRequest returns a request to the operator API of an entry.
func (fl *Fleet) operatorRequest(ctx context.Context, en *entry.Entry, method, path, operation string, body []byte) (*http.Request, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+en.AdminAddress()+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	rq.Header.Set("fulmarloft-operator", operatorName)
	rq.Header.Set("fulmarloft-operation", operation)
	return rq, nil
}

// doJSON sends a request and decodes its JSON response.
func (fl *Fleet) doJSON(rq *http.Request, into any) error {
	res, err := fl.hc.Do(rq)
	if err != nil {
		return code.PeerUnreachable.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return code.Internal.New("cannot decode the response of %s: %w", rq.URL.Path, err)
	}
	return nil
}

// ListedState returns the state and the pool of a VM or wave as the operator API lists it, or empty strings if it isn't listed.
func (fl *Fleet) ListedState(ctx context.Context, path, name string) (state, pool string, err error) {
	raw, err := fl.CallOperatorAPI(ctx, http.MethodGet, path, "")
	if err != nil {
		return "", "", err
	}
	var lines []struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Pool  string `json:"pool"`
	}
	if err := json.Unmarshal(raw, &lines); err != nil {
		return "", "", code.Internal.Wrap(err)
	}
	for _, ln := range lines {
		if ln.Name == name {
			return ln.State, ln.Pool, nil
		}
	}
	return "", "", nil
}
