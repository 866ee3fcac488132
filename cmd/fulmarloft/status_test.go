package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func TestStatusCommand(t *testing.T) {
	serve := func(body string) string {
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			if rq.URL.Path != "/status" || body == "" {
				wr.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = wr.Write([]byte(body))
		}))
		t.Cleanup(sv.Close)
		return strings.TrimPrefix(sv.URL, "http://")
	}
	owner := serve(`{"entry":"e-1","zone":"a","ready":true,"owner":true,"token":"7","owner-for-ms":50,"scheduling-for-ms":10,"renewed-ms-ago":3,
		"vms":{"silent":1,"registered":20},"slow-vms":["i-1","i-2"],"runs-in-doubt":9,"starts-unanswered":2,"changes-lost-ms":{"jobs":10},"rules-version":4,"rules-age-ms":120,"waiting":{"q-2":5,"q-1":3},
		"waits":{"s":{"wait-ms":900,"room-milli":32000,"begun-core-ms":5,"age-ms":40,"teams":{"t":{"waiting-core-ms":70,"share-level":2},"u":{"waiting-core-ms":8}}}},"refused":{"q-1":{"t-2":7}}}`)
	other := serve(`{"entry":"e-2","zone":"b","draining":true,"owner":false,"changes-lost-ms":{},"rules-version":3,"rules-age-ms":900,"waiting-error":"store away"}`)
	missing := serve("")
	for _, tc := range []struct {
		name string
		args []string
		want code.Code
		out  string
	}{
		{"all", []string{owner, other}, code.OK, `e-1 (a): ready; rules 4, confirmed 120 ms ago
  changes of jobs lost for 10 ms
  waiting jobs: q-1 3, q-2 5
  submissions to queue q-1 refused as hopeless: t-2 7
  owns scheduling for 50 ms with token 7, schedules for 10 ms, last commit 3 ms ago
  VMs: registered 20, silent 1
  slow VMs: i-1, i-2
  in doubt: 9 runs on VMs that don't answer; 2 starts got no answer since it took over
  service s: a new job waits 900 ms for 32000 thousandths of a core, 40 ms ago
    team t: 70 core-milliseconds wait, level 2 above its share
    team u: 8 core-milliseconds wait, level 0 above its share
e-2 (b): draining; rules 3, confirmed 900 ms ago
  waiting jobs unknown: store away
owner of scheduling: e-1
`},
		{"one doesn't answer", []string{missing, other}, code.PeerUnreachable, `e-2 (b): draining; rules 3, confirmed 900 ms ago
  waiting jobs unknown: store away
owner of scheduling: none of these entries
`},
	} {
		out, err := captureStdout(t, func() error { return runCommand(t, statusCommands, append([]string{"status"}, tc.args...)...) })
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, out, qt.Equals, tc.out, qt.Commentf(tc.name))
	}
	out, err := captureStdout(t, func() error { return runCommand(t, statusCommands, "status", "--json", other) })
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, out, qt.Contains, `"entry":"e-2"`)
}
