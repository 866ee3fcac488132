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
	maxReplyBytes = 64 << 20
	callerHeader  = "fulmarloft-caller"
	asOfHeader    = "fulmarloft-as-of-ms"
)

// exchange is one HTTP call and what its answer says beside the body.
type exchange struct {
	method, path             string
	body                     []byte
	knownETag                string
	refusedCode, inDoubtCode code.Code

	unchanged bool
	etag      string
	asOf      string
}

// New returns a client of the platform at ip:port that names its caller in each call.
func New(address, caller string) *Client {
	return &Client{base: "http://" + address, caller: caller, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Commit sends one transaction to the table; an answer that doesn't come leaves it in doubt.
func (cl *Client) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	rep := &platformpb.CommitReply{}
	return rep, cl.call(ctx, "/table/commit", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Read asks the table for one snapshot.
func (cl *Client) Read(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	rep := &platformpb.ReadReply{}
	return rep, cl.call(ctx, "/table/read", req, rep, code.TableUnavailable, code.TableUnavailable)
}

// VMs returns the platform's lagging list of VMs and a mark of its content, or only the time of the list when the content still has the known mark.
func (cl *Client) VMs(ctx context.Context, knownETag string) (*platformpb.VMList, string, error) {
	ex := &exchange{method: http.MethodPost, path: "/vms/list", knownETag: knownETag, refusedCode: code.TableUnavailable, inDoubtCode: code.TableUnavailable}
	raw, err := cl.do(ctx, ex)
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
		return rep, knownETag, nil
	}
	if err := proto.Unmarshal(raw, rep); err != nil {
		return nil, "", code.TableUnavailable.Wrap(err)
	}
	return rep, ex.etag, nil
}

// Act asks for an action on a VM; repeating the same operation id is harmless.
func (cl *Client) Act(ctx context.Context, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
	rep := &platformpb.VMActionReply{}
	return rep, cl.call(ctx, "/vms/act", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Task gives a worker at ip:port an order; code EndpointRefused proves that it had no effect, after WorkerLost it may have had.
func (cl *Client) Task(ctx context.Context, address string, req *platformpb.Task) (*platformpb.TaskReport, error) {
	rep := &platformpb.TaskReport{}
	wk := &Client{base: "http://" + address, caller: cl.caller, hc: cl.hc}
	return rep, wk.call(ctx, "/worker/task", req, rep, code.EndpointRefused, code.WorkerLost)
}

// Reports asks a worker at ip:port for the state of its runs.
func (cl *Client) Reports(ctx context.Context, address string) (*platformpb.TaskReports, error) {
	rep := &platformpb.TaskReports{}
	wk := &Client{base: "http://" + address, caller: cl.caller, hc: cl.hc}
	return rep, wk.call(ctx, "/worker/reports", &platformpb.ReadRequest{}, rep, code.WorkerLost, code.WorkerLost)
}

// PutObject stores content under a name that is never written with other content.
func (cl *Client) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := cl.do(ctx, &exchange{
		method: http.MethodPut, path: "/objects/" + name, body: content,
		refusedCode: code.StoreUnavailable, inDoubtCode: code.StoreUnavailable,
	})
	return err
}

// Object returns the content stored under a name.
func (cl *Client) Object(ctx context.Context, name string) ([]byte, error) {
	return cl.do(ctx, &exchange{
		method: http.MethodGet, path: "/objects/" + name,
		refusedCode: code.StoreUnavailable, inDoubtCode: code.StoreUnavailable,
	})
}

func (cl *Client) call(ctx context.Context, path string, req, rep proto.Message, refusedCode, inDoubtCode code.Code) error {
	raw, err := proto.Marshal(req)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	got, err := cl.do(ctx, &exchange{method: http.MethodPost, path: path, body: raw, refusedCode: refusedCode, inDoubtCode: inDoubtCode})
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(got, rep); err != nil {
		return inDoubtCode.Wrap(err)
	}
	return nil
}

func (cl *Client) do(ctx context.Context, ex *exchange) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, ex.method, cl.base+ex.path, bytes.NewReader(ex.body))
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	req.Header.Set(callerHeader, cl.caller)
	if ex.knownETag != "" {
		req.Header.Set("If-None-Match", ex.knownETag)
	}
	res, err := cl.hc.Do(req)
	if err != nil {
		return nil, transportError(err, ex.refusedCode, ex.inDoubtCode)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return nil, ex.inDoubtCode.Wrap(err)
	}
	return raw, ex.handleResponse(res)
}

func (ex *exchange) handleResponse(res *http.Response) error {
	ex.etag = res.Header.Get("ETag")
	ex.asOf = res.Header.Get(asOfHeader)
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		ex.unchanged = true
		return nil
	case http.StatusServiceUnavailable:
		return ex.refusedCode.New("%s %s: status %d", ex.method, ex.path, res.StatusCode)
	default:
		return ex.inDoubtCode.New("%s %s: status %d", ex.method, ex.path, res.StatusCode)
	}
}

func transportError(err error, refusedCode, inDoubtCode code.Code) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusedCode.Wrap(err)
	}
	return inDoubtCode.Wrap(err)
}
