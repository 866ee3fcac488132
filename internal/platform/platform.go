package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Client is a process's way to the platform; it is safe for concurrent use.
type Client struct {
	base   string
	caller string
	hc     *http.Client
}

const (
	maxReply     = 64 << 20
	callerHeader = "fulmarloft-caller"
	asOfHeader   = "fulmarloft-as-of-ms"
)

// exchange is one HTTP call and what its answer says beside the body.
type exchange struct {
	method, path   string
	body           []byte
	known          string
	refused, doubt code.Code

	unchanged bool
	mark      string
	asOf      string
}

// New returns a client of the platform at ip:port that names its caller in each call.
func New(address, caller string) *Client {
	return &Client{base: "http://" + address, caller: caller, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Commit sends one transaction to the table; an answer that doesn't come leaves it in doubt.
func (ln *Client) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	rep := &platformpb.CommitReply{}
	return rep, ln.call(ctx, "/table/commit", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Read asks the table for one snapshot.
func (ln *Client) Read(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	rep := &platformpb.ReadReply{}
	return rep, ln.call(ctx, "/table/read", req, rep, code.TableUnavailable, code.TableUnavailable)
}

// VMs returns the platform's lagging list of VMs and a mark of its content, or only the time of the list when the content still has the known mark.
func (ln *Client) VMs(ctx context.Context, known string) (*platformpb.VMList, string, error) {
	ex := &exchange{method: http.MethodPost, path: "/vms/list", known: known, refused: code.TableUnavailable, doubt: code.TableUnavailable}
	raw, err := ln.exchange(ctx, ex)
	if err != nil {
		return nil, "", err
	}
	rep := &platformpb.VMList{}
	if ex.unchanged {
		asOf, err := strconv.ParseInt(ex.asOf, 10, 64)
		if err != nil {
			return nil, "", code.TableUnavailable.Wrap(err)
		}
		rep.AsOfMs = asOf
		return rep, known, nil
	}
	if err := proto.Unmarshal(raw, rep); err != nil {
		return nil, "", code.TableUnavailable.Wrap(err)
	}
	return rep, ex.mark, nil
}

// Act asks for an action on a VM; repeating the same operation id is harmless.
func (ln *Client) Act(ctx context.Context, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
	rep := &platformpb.VMActionReply{}
	return rep, ln.call(ctx, "/vms/act", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Task gives a worker at ip:port an order; code EndpointRefused proves that it had no effect, after WorkerLost it may have had.
func (ln *Client) Task(ctx context.Context, address string, req *platformpb.Task) (*platformpb.TaskReport, error) {
	rep := &platformpb.TaskReport{}
	wk := &Client{base: "http://" + address, caller: ln.caller, hc: ln.hc}
	return rep, wk.call(ctx, "/worker/task", req, rep, code.EndpointRefused, code.WorkerLost)
}

// Reports asks a worker at ip:port for the state of its runs.
func (ln *Client) Reports(ctx context.Context, address string) (*platformpb.TaskReports, error) {
	rep := &platformpb.TaskReports{}
	wk := &Client{base: "http://" + address, caller: ln.caller, hc: ln.hc}
	return rep, wk.call(ctx, "/worker/reports", &platformpb.ReadRequest{}, rep, code.WorkerLost, code.WorkerLost)
}

// PutObject stores content under a name that is never written with other content.
func (ln *Client) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := ln.exchange(ctx, &exchange{
		method: http.MethodPut, path: "/objects/" + name, body: content,
		refused: code.StoreUnavailable, doubt: code.StoreUnavailable,
	})
	return err
}

// Object returns the content stored under a name.
func (ln *Client) Object(ctx context.Context, name string) ([]byte, error) {
	return ln.exchange(ctx, &exchange{
		method: http.MethodGet, path: "/objects/" + name,
		refused: code.StoreUnavailable, doubt: code.StoreUnavailable,
	})
}

func (ln *Client) call(ctx context.Context, path string, req, rep proto.Message, refused, doubt code.Code) error {
	raw, err := proto.Marshal(req)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	got, err := ln.exchange(ctx, &exchange{method: http.MethodPost, path: path, body: raw, refused: refused, doubt: doubt})
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(got, rep); err != nil {
		return doubt.Wrap(err)
	}
	return nil
}

func (ln *Client) exchange(ctx context.Context, ex *exchange) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, ex.method, ln.base+ex.path, bytes.NewReader(ex.body))
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	req.Header.Set(callerHeader, ln.caller)
	if ex.known != "" {
		req.Header.Set("If-None-Match", ex.known)
	}
	res, err := ln.hc.Do(req)
	if err != nil {
		return nil, classify(err, ex.refused, ex.doubt)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return nil, ex.doubt.Wrap(err)
	}
	return raw, ex.judge(res)
}

func (ex *exchange) judge(res *http.Response) error {
	ex.mark = res.Header.Get("ETag")
	ex.asOf = res.Header.Get(asOfHeader)
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		ex.unchanged = true
		return nil
	case http.StatusServiceUnavailable:
		return ex.refused.New("%s %s: status %d", ex.method, ex.path, res.StatusCode)
	default:
		return ex.doubt.New("%s %s: status %d", ex.method, ex.path, res.StatusCode)
	}
}

func classify(err error, refused, doubt code.Code) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refused.Wrap(err)
	}
	return doubt.Wrap(err)
}
