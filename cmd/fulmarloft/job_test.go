package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Each job command must send the expected request with the key from the key file, and must turn an error answer of the entry into an error with the same code.
func TestJobCommands(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		answer int
		body   string
		call   string
		code   code.Code
	}{
		{
			"submit",
			[]string{"submit", "--id", "x", "--issued-ms", "5", "--cores", "1.5", "--memory-mb", "10", "--run-ms", "20"},
			http.StatusAccepted, `{}`,
			`POST /jobs {"id":"x","class":"normal","cores":1.5,"memory-mb":10,"accelerators":0,"run-ms":20,"idempotent":false,"issued-ms":5}`, code.OK,
		},
		{"status", []string{"status", "x"}, http.StatusOK, `{}`, `GET /jobs/x `, code.OK},
		{"cancel", []string{"cancel", "x", "y"}, http.StatusOK, `[]`, `POST /jobs/cancel {"ids":["x","y"]}`, code.OK},
		{"refused", []string{"status", "z"}, http.StatusNotFound, `{"code":118,"detail":"none"}`, `GET /jobs/z `, code.JobUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var call, key string
			sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				raw, _ := io.ReadAll(rq.Body)
				call, key = rq.Method+" "+rq.URL.Path+" "+string(raw), rq.Header.Get("fulmarloft-key")
				wr.WriteHeader(tc.answer)
				_, _ = wr.Write([]byte(tc.body))
			}))
			defer sv.Close()
			file := filepath.Join(t.TempDir(), "key")
			qt.Assert(t, os.WriteFile(file, []byte("secret\n"), 0o600), qt.IsNil)
			app := kingpin.New("fulmarloft", "")
			cmds := jobCommands(app)
			chosen, err := app.Parse(append([]string{"job", "--entry", strings.TrimPrefix(sv.URL, "http://"), "--key-file", file}, tc.args...))
			qt.Assert(t, err, qt.IsNil)
			for _, cm := range cmds {
				if cm.name == chosen {
					qt.Check(t, code.Of(cm.run()), qt.Equals, tc.code)
				}
			}
			qt.Check(t, call, qt.Equals, tc.call)
			qt.Check(t, key, qt.Equals, "secret")
		})
	}
}
