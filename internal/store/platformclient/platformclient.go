package platformclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Client calls the platform's services on behalf of one process; it is safe for concurrent use.
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

// exchange is one HTTP call and the metadata of its response.
//
// refusedCode is the code of errors after which the call certainly had no effect, inDoubtCode that of all others.
type exchange struct {
	method, path             string
	body                     []byte
	knownETag                string
	refusedCode, inDoubtCode code.Code

	unchanged bool
	etag      string
	asOf      string
}

// New returns a client of the platform at ip:port that sends the caller's name with each call.
func New(address, caller string) *Client {
	return &Client{base: "http://" + address, caller: caller, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Commit sends one transaction to the table; an error has code.TableInDoubt if the transaction may have been applied.
func (cl *Client) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	rep := &platformpb.CommitReply{}
	return rep, cl.call(ctx, "/table/commit", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Read returns one consistent snapshot of rows of the table.
func (cl *Client) Read(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	rep := &platformpb.ReadReply{}
	return rep, cl.call(ctx, "/table/read", req, rep, code.TableUnavailable, code.TableUnavailable)
}

// VMs returns the platform's list of VMs, which lags behind, and its ETag; if the content still matches knownETag, the list holds only its time.
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
			return nil, "", code.TableUnavailable.New("cannot decode the time of the VM list: %w", err)
		}
		rep.AsOfMs = asOf
		return rep, knownETag, nil
	}
	if err := proto.Unmarshal(raw, rep); err != nil {
		return nil, "", code.TableUnavailable.New("cannot decode the VM list: %w", err)
	}
	return rep, ex.etag, nil
}

// Act requests an action on a VM; requests with the same operation id take effect once.
func (cl *Client) Act(ctx context.Context, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
	rep := &platformpb.VMActionReply{}
	return rep, cl.call(ctx, "/vms/act", req, rep, code.TableUnavailable, code.TableInDoubt)
}

// Task sends a command to the worker at ip:port; after code.EndpointRefused it certainly had no effect, after code.WorkerLost it may have had one.
func (cl *Client) Task(ctx context.Context, address string, req *platformpb.Task) (*platformpb.TaskReport, error) {
	rep := &platformpb.TaskReport{}
	wk := &Client{base: "http://" + address, caller: cl.caller, hc: cl.hc}
	return rep, wk.call(ctx, "/worker/task", req, rep, code.EndpointRefused, code.WorkerLost)
}

// Reports returns the state of the runs of the worker at ip:port.
func (cl *Client) Reports(ctx context.Context, address string) (*platformpb.TaskReports, error) {
	rep := &platformpb.TaskReports{}
	wk := &Client{base: "http://" + address, caller: cl.caller, hc: cl.hc}
	return rep, wk.call(ctx, "/worker/reports", &platformpb.ReadRequest{}, rep, code.WorkerLost, code.WorkerLost)
}

// PutObject stores content under a name; callers never store different content under the same name.
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
		return nil, ex.inDoubtCode.New("%s %s: cannot read the response body: %w", ex.method, ex.path, err)
	}
	return raw, ex.handleResponse(res)
}

// handleResponse records the response headers and returns the error of its status.
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
		return ex.refusedCode.New("%s %s: unexpected status %d", ex.method, ex.path, res.StatusCode)
	default:
		return ex.inDoubtCode.New("%s %s: unexpected status %d", ex.method, ex.path, res.StatusCode)
	}
}

// transportError returns the error of a call without a response; only a failure to connect rules out that the call had an effect.
func transportError(err error, refusedCode, inDoubtCode code.Code) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusedCode.Wrap(err)
	}
	return inDoubtCode.Wrap(err)
}
