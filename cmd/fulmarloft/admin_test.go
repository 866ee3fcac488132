package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const shortTimeout = "100ms"

// runCommand runs one command line of the registered commands and returns its error.
func runCommand(t *testing.T, add func(*kingpin.Application) []command, args ...string) error {
	app := kingpin.New("fulmarloft", "")
	cmds := add(app)
	name, err := app.Parse(args)
	qt.Assert(t, err, qt.IsNil)
	for _, cm := range cmds {
		if cm.name == name {
			return cm.run()
		}
	}
	t.Fatalf("no command %q", name)
	return nil
}

// A command must give up after its timeout with a code that says what is known, or a script would hang on an entry that doesn't answer.
func TestCommandsTimeOut(t *testing.T) {
	release := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer sv.Close()
	defer close(release)
	addr := strings.TrimPrefix(sv.URL, "http://")
	file := filepath.Join(t.TempDir(), "key")
	qt.Assert(t, os.WriteFile(file, []byte("secret\n"), 0o600), qt.IsNil)
	for _, tc := range []struct {
		name string
		add  func(*kingpin.Application) []command
		args []string
		want code.Code
	}{
		{"call", callCommands, []string{"call", "--timeout", shortTimeout, "--entry", addr, "replies", "hello"}, code.MayHaveRun},
		{"job", jobCommands, []string{"job", "--timeout", shortTimeout, "--entry", addr, "--key-file", file, "status", "x"}, code.MayHaveRun},
		{"admin", fleetCommands, []string{"wave", "status", "--timeout", shortTimeout, "--admin", addr}, code.PeerUnreachable},
	} {
		err := runCommand(t, tc.add, tc.args...)
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf("%s: %v", tc.name, err))
	}
}

// The secret of a new key must be shown if the key was created or may have been, also after an answer without a code, and not if it certainly wasn't.
func TestKeyCreateShowsTheSecretOnlyIfTheKeyMayExist(t *testing.T) {
	text := string(bundletest.Canonical(bundletest.Text(1, 1, 2, 1, 4)))
	priv := filepath.Join(t.TempDir(), "op.pem")
	qt.Assert(t, runCommand(t, operatorCommands, "operator", "create", "op-0", "--out", priv), qt.IsNil)
	for _, tc := range []struct {
		name            string
		readStatus      int
		status          int
		resultCode      string
		want            code.Code
		shown, cutShort bool
	}{
		{"published", 200, 200, "0", code.OK, true, false},
		{"in doubt", 200, 503, "308", code.TableInDoubt, true, false},
		{"refused", 200, 403, "303", code.SignOffMissing, false, false},
		{"refused without a code", 200, 403, "", code.Internal, false, false},
		{"broken by a proxy", 200, 502, "", code.PeerUnreachable, true, false},
		{"connection lost", 200, 0, "", code.PeerUnreachable, true, true},
		{"bundle unreadable", 502, 200, "", code.PeerUnreachable, false, false},
	} {
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			if rq.Method == http.MethodGet {
				wr.WriteHeader(tc.readStatus)
				_, _ = wr.Write([]byte(text))
				return
			}
			if tc.cutShort {
				panic(http.ErrAbortHandler)
			}
			if tc.resultCode != "" {
				wr.Header().Set("fulmarloft-code", tc.resultCode)
			}
			wr.WriteHeader(tc.status)
		}))
		out, err := captureStdout(t, func() error {
			return runCommand(t, keyCommands, "key", "create", "team-0", "k9", "--admin", strings.TrimPrefix(sv.URL, "http://"), "--operator", "op-0", "--private-key", priv)
		})
		sv.Close()
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf("%s: %v", tc.name, err))
		qt.Check(t, err == nil, qt.Equals, tc.want == code.OK, qt.Commentf("%s: %v", tc.name, err))
		qt.Check(t, strings.Contains(out, "k9."), qt.Equals, tc.shown, qt.Commentf("%s: printed %q", tc.name, out))
	}
}

// captureStdout returns what fn prints and its error.
func captureStdout(t *testing.T, fn func() error) (string, error) {
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	qt.Assert(t, err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	err = fn()
	raw, readErr := os.ReadFile(file.Name())
	qt.Assert(t, readErr, qt.IsNil)
	return string(raw), err
}
