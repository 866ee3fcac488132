package table

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Client commits to and reads from the table service; it is safe for concurrent use.
type Client struct {
	commit func(context.Context, *platformpb.CommitRequest) (*platformpb.CommitReply, error)
	read   func(context.Context, *platformpb.ReadRequest) (*platformpb.ReadReply, error)
	gd     *guard
}

// New returns a client that sends each request once through the given functions of the table service.
func New(
	commit func(context.Context, *platformpb.CommitRequest) (*platformpb.CommitReply, error),
	read func(context.Context, *platformpb.ReadRequest) (*platformpb.ReadReply, error),
) *Client {
	return &Client{commit: commit, read: read}
}

// Commit applies all writes if all conditions hold; an error of code TableInDoubt means that the writes may have taken effect or may still do so.
func (cl *Client) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	if req.GetOperation() == "" {
		return nil, code.Internal.New("commit without operation id")
	}
	if cl.gd != nil {
		return cl.gd.commitWithRetry(ctx, req)
	}
	rep, err := cl.commit(ctx, req)
	if err != nil {
		return nil, err
	}
	unwrapRows(rep.GetRows())
	return rep, nil
}

// Read returns one consistent snapshot of the requested rows; absent rows are omitted.
func (cl *Client) Read(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	if cl.gd != nil {
		return cl.gd.readWithRetry(ctx, req)
	}
	rep, err := cl.read(ctx, req)
	if err != nil {
		return nil, err
	}
	unwrapRows(rep.GetRows())
	return rep, nil
}

// Get returns one row, with version 0 if it is absent.
func (cl *Client) Get(ctx context.Context, key string) (*platformpb.Row, error) {
	rep, err := cl.Read(ctx, &platformpb.ReadRequest{Keys: []string{key}})
	if err != nil {
		return nil, err
	}
	if len(rep.GetRows()) == 0 {
		return &platformpb.Row{Key: key}, nil
	}
	return rep.GetRows()[0], nil
}
