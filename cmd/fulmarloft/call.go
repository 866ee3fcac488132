package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func callCommands(app *kingpin.Application) []command {
	cm := app.Command("call", "Send one request to an entry and print the answer.")
	addr := cm.Flag("entry", "Address of an entry for callers.").Default("127.0.0.1:8080").String()
	file := cm.Flag("key-file", "File with the secret of the team's key; without it the request carries no key.").String()
	timeout := cm.Flag("timeout", "Time after which the call is given up; the request may then have run.").Default("10m").Duration()
	svc := cm.Arg("service", "Name of the service.").Required().String()
	body := cm.Arg("body", "Body of the request.").String()
	return []command{{cm.FullCommand(), func() error { return runCall(*addr, *file, *svc, *body, *timeout) }}}
}

func runCall(addr, file, svc, body string, timeout time.Duration) error {
	ctx, cancel := withTimeout(timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/call/"+svc, bytes.NewBufferString(body))
	if err != nil {
		return code.HeaderMalformed.Wrap(err)
	}
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return code.KeyMissing.Wrap(err)
		}
		req.Header.Set("fulmarloft-key", string(bytes.TrimSpace(raw)))
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return code.MayHaveRun.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	fmt.Printf("status=%d code=%s outcome=%s request-id=%s\n", res.StatusCode, res.Header.Get("fulmarloft-code"),
		res.Header.Get("fulmarloft-outcome"), res.Header.Get("fulmarloft-request-id"))
	_, err = io.Copy(os.Stdout, res.Body)
	return err
}
