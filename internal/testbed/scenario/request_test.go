package scenario

import (
	"encoding/json"
	"net/http"
)

// issue runs the command "issue ENTRY", which requests a request id from an entry; later calls use it as id=issued.
func (sc *scenario) issue(args []string) {
	sc.requireArgs(args, 1, "issue ENTRY")
	res, err := sc.hc.Post("http://"+sc.fl.Entry(args[0]).CallerAddress()+"/v1/request-ids", "", nil)
	sc.check(err)
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		sc.ts.Fatalf("request for a request id: status %d, expected %d", res.StatusCode, http.StatusOK)
	}
	var got map[string]any
	sc.check(json.NewDecoder(res.Body).Decode(&got))
	list, ok := got["request-ids"].([]any)
	if !ok || len(list) != 1 {
		sc.ts.Fatalf("expected one request id, got %v", got)
	}
	sc.issued, _ = list[0].(string)
}
