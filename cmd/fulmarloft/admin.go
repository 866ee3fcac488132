package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorapi"
	"github.com/fulmarloft/fulmarloft/internal/membership/identity"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// adminCall holds the flags of a call to the operator API. With certificate files the operator is authenticated by mutual TLS.
type adminCall struct {
	admin           *string
	operator        *string
	operation       *string
	certificateFile *string
	keyFile         *string
	authorityFile   *string
	timeout         *time.Duration
}

func newAdminCall(cm *kingpin.CmdClause) *adminCall {
	return &adminCall{
		admin:           cm.Flag("admin", "Address of the operator API of an entry.").Default("127.0.0.1:8081").String(),
		operator:        cm.Flag("operator", "Name of the operator.").Default("operator").String(),
		operation:       cm.Flag("operation", "Operation id; repeating a call with the same id has no further effect. Random if not given.").Default(uuid.NewString()).String(),
		certificateFile: cm.Flag("certificate", "PEM file of the operator's certificate; without it the call is made over plain HTTP.").String(),
		keyFile:         cm.Flag("certificate-key", "PEM file of the certificate's private key.").String(),
		authorityFile:   cm.Flag("authority", "PEM file of the CA certificates that the entry's certificate must chain to.").String(),
		timeout:         cm.Flag("timeout", "Time after which the call is given up; a change may then have taken effect.").Default("1m").Duration(),
	}
}

// send makes the call and returns the body of the answer. If the status is neither 200 nor 202, it returns an error with the code of the answer.
func (ac *adminCall) send(method, path string, header http.Header, body []byte) ([]byte, error) {
	hc, scheme, err := ac.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(*ac.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, scheme+*ac.admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.HeaderMalformed.Wrap(err)
	}
	for name, values := range header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	req.Header.Set(identity.OperatorHeader, *ac.operator)
	req.Header.Set(operatorapi.OperationHeader, *ac.operation)
	res, err := hc.Do(req)
	if err != nil {
		return nil, code.PeerUnreachable.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, code.PeerUnreachable.New("cannot read the response body: %w", err)
	}
	if res.StatusCode == http.StatusOK || res.StatusCode == http.StatusAccepted {
		return raw, nil
	}
	return nil, refusedWith(res, bytes.TrimSpace(raw))
}

// refusedWith returns the error of a response that isn't a success. Without a code it comes from something between here and the entry: a status from 500 on leaves open whether the entry got the call.
func refusedWith(res *http.Response, body []byte) error {
	num, err := strconv.Atoi(res.Header.Get(operatorapi.CodeHeader))
	switch {
	case err == nil && code.Code(num) != code.OK:
		return code.Code(num).New("%s", body)
	case res.StatusCode >= http.StatusInternalServerError:
		return code.PeerUnreachable.New("status %d without a result code: %s", res.StatusCode, body)
	}
	return code.Internal.New("status %d without a result code: %s", res.StatusCode, body)
}

// withTimeout returns a context that ends after the given time.
func withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return clock.New().WithTimeout(context.Background(), timeout.Milliseconds())
}

func (ac *adminCall) client() (*http.Client, string, error) {
	if *ac.certificateFile == "" {
		return http.DefaultClient, "http://", nil
	}
	id, err := identity.Load(*ac.certificateFile, *ac.keyFile, *ac.authorityFile)
	if err != nil {
		return nil, "", err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: id.ClientConfig()}}, "https://", nil
}
