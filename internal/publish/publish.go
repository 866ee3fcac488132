package publish

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// Publisher commits versions; its function fields reach the object store, the running fleet and what this entry knows of acceptance.
type Publisher struct {
	tbl      *table.Client
	put      func(ctx context.Context, name string, content []byte) error
	get      func(ctx context.Context, name string) ([]byte, error)
	check    func(old, next *bundle.Bundle) error
	accepted func() uint64
	held     func() *bundle.Bundle
}

// Keys of the rows that order the configuration.
const (
	HeadKey       = "config/head"
	OperationsKey = "config/operations"
)

const (
	maxRecent   = 32
	maxAttempts = 8
)

// New returns a publisher; check compares a proposed bundle with the running fleet, and old is nil for the first.
func New(
	tbl *table.Client,
	put func(ctx context.Context, name string, content []byte) error,
	get func(ctx context.Context, name string) ([]byte, error),
	check func(old, next *bundle.Bundle) error,
	accepted func() uint64,
) *Publisher {
	return &Publisher{tbl: tbl, put: put, get: get, check: check, accepted: accepted, held: func() *bundle.Bundle { return nil }}
}

// SetHeld sets the function that returns the bundle which this entry holds, so that it needn't be read again as a base.
func (pb *Publisher) SetHeld(held func() *bundle.Bundle) { pb.held = held }

// ObjectName returns the name under which the content of a hash is stored.
func ObjectName(hash string) string { return "config-" + hash }

// Publish makes the bundle the next version and returns the operation as it is kept; the same operation id returns the first outcome and has no second effect.
func (pb *Publisher) Publish(ctx context.Context, operation string, raw []byte, list []signoff.SignOff) (*configpb.Operation, error) {
	bd, err := bundle.Parse(raw)
	if err != nil {
		return nil, err
	}
	for range maxAttempts {
		sn, err := pb.snapshot(ctx)
		if err != nil {
			return nil, code.NotYetKept.New("the table can't be read: %w", err)
		}
		if kept := sn.operation(operation); kept != nil {
			return repeated(kept, bd)
		}
		req, kept, err := pb.prepare(ctx, sn, operation, bd, list)
		if err != nil {
			return nil, err
		}
		done, err := pb.commit(ctx, req, operation)
		if err != nil || done {
			return kept, err
		}
	}
	return nil, code.NotYetKept.New("the head changed %d times meanwhile", maxAttempts)
}

func (pb *Publisher) prepare(ctx context.Context, sn *snapshot, operation string, bd *bundle.Bundle, list []signoff.SignOff) (*platformpb.CommitRequest, *configpb.Operation, error) {
	if bd.Version() != sn.head.GetVersion()+1 {
		return nil, nil, code.Conflict.New("the bundle of version %d replaces version %d, the head is version %d with hash %s",
			bd.Version(), bd.Version()-1, sn.head.GetVersion(), sn.head.GetHash())
	}
	old, err := pb.base(ctx, sn.head)
	if err != nil {
		return nil, nil, err
	}
	signers, err := pb.allow(old, bd, list)
	if err != nil {
		return nil, nil, err
	}
	canon, err := bd.Bytes()
	if err != nil {
		return nil, nil, err
	}
	if err := pb.put(ctx, ObjectName(bd.Hash()), canon); err != nil {
		return nil, nil, code.NotYetKept.New("the object store can't be written: %w", err)
	}
	kept := &configpb.Operation{Id: operation, Version: bd.Version(), Hash: bd.Hash(), Signers: signers}
	req, err := sn.request(kept, pb.ceiling(sn.head, old, bd))
	return req, kept, err
}

// allow checks the sign-offs by the rules of the version that the bundle replaces, so that an operator removed there signs nothing any more.
func (pb *Publisher) allow(old, bd *bundle.Bundle, list []signoff.SignOff) ([]string, error) {
	rules := old
	if old == nil {
		rules = bd
	}
	signers, err := signoff.Verify(rules, bd.Hash(), list)
	if err != nil {
		return nil, err
	}
	if old != nil {
		if err := succession(old, bd); err != nil {
			return nil, err
		}
	}
	return signers, pb.check(old, bd)
}

// base returns the bundle of the head, or nil when the head is absent.
func (pb *Publisher) base(ctx context.Context, head *configpb.Head) (*bundle.Bundle, error) {
	if head.GetVersion() == 0 {
		return nil, nil
	}
	if bd := pb.held(); bd != nil && bd.Hash() == head.GetHash() {
		return bd, nil
	}
	raw, err := pb.get(ctx, ObjectName(head.GetHash()))
	if err != nil {
		return nil, code.NotYetKept.New("version %d can't be read: %w", head.GetVersion(), err)
	}
	bd, err := bundle.Parse(raw)
	if err != nil {
		return nil, err
	}
	if bd.Hash() != head.GetHash() {
		return nil, code.BundleMalformed.New("version %d has another hash than its head", head.GetVersion())
	}
	return bd, nil
}

// ceiling returns the longest lease that an entry may hold by any version up to the new one; it falls once the base is known accepted.
func (pb *Publisher) ceiling(head *configpb.Head, old, bd *bundle.Bundle) int64 {
	if old == nil {
		return bd.ConfigLeaseMS()
	}
	most := max(old.ConfigLeaseMS(), bd.ConfigLeaseMS())
	if pb.accepted() < head.GetVersion() {
		most = max(most, head.GetLeaseCeilingMs())
	}
	return most
}

// commit repeats the same conditional write while its answer stays in doubt: at most one of the copies can take effect.
func (pb *Publisher) commit(ctx context.Context, req *platformpb.CommitRequest, operation string) (bool, error) {
	doubt := false
	var last error
	for range maxAttempts {
		rep, err := pb.tbl.Commit(ctx, req)
		if err == nil {
			return rep.GetCommitted() || keptIn(rep.GetRows(), operation), nil
		}
		last = err
		doubt = doubt || code.Of(err) == code.TableInDoubt
		if !doubt {
			return false, code.NotYetKept.New("the table can't be written: %w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return false, code.TableInDoubt.New("repeat the operation %s to learn its outcome: %w", operation, last)
}

func repeated(kept *configpb.Operation, bd *bundle.Bundle) (*configpb.Operation, error) {
	if kept.GetHash() != bd.Hash() {
		return nil, code.OperationRepeated.New("operation %s made version %d with hash %s", kept.GetId(), kept.GetVersion(), kept.GetHash())
	}
	return kept, nil
}

// succession refuses a bundle in which a key of its base is missing without being withdrawn, changes its team or hash, or returns.
func succession(old, bd *bundle.Bundle) error {
	withdrawn := map[string]bool{}
	for _, id := range bd.WithdrawnKeys() {
		withdrawn[id] = true
	}
	for _, id := range old.WithdrawnKeys() {
		if !withdrawn[id] {
			return code.BundleInvalid.New("key %s was withdrawn: expected it in withdrawn-keys for good", id)
		}
	}
	type place struct {
		team, id string
	}
	kept := map[place]key.Key{}
	for _, tm := range bd.Teams() {
		for _, ky := range tm.Keys() {
			kept[place{tm.Name(), ky.ID()}] = ky
		}
	}
	for _, tm := range old.Teams() {
		for _, ky := range tm.Keys() {
			if withdrawn[ky.ID()] {
				continue
			}
			if kept[place{tm.Name(), ky.ID()}] != ky {
				return code.BundleInvalid.New("key %s of team %s is missing or changed: expected it unchanged or in withdrawn-keys", ky.ID(), tm.Name())
			}
		}
	}
	return nil
}

func keptIn(rows []*platformpb.Row, operation string) bool {
	for _, row := range rows {
		ops := &configpb.Operations{}
		if row.GetKey() != OperationsKey || proto.Unmarshal(row.GetValue(), ops) != nil {
			continue
		}
		if find(ops, operation) != nil {
			return true
		}
	}
	return false
}

func find(ops *configpb.Operations, operation string) *configpb.Operation {
	at := slices.IndexFunc(ops.GetRecent(), func(op *configpb.Operation) bool { return op.GetId() == operation })
	if at < 0 {
		return nil
	}
	return ops.GetRecent()[at]
}

type snapshot struct {
	head       *configpb.Head
	operations *configpb.Operations
	versions   map[string]uint64
}

func (pb *Publisher) snapshot(ctx context.Context) (*snapshot, error) {
	rep, err := pb.tbl.Read(ctx, &platformpb.ReadRequest{Keys: []string{HeadKey, OperationsKey}})
	if err != nil {
		return nil, err
	}
	sn := &snapshot{head: &configpb.Head{}, operations: &configpb.Operations{}, versions: map[string]uint64{}}
	for _, row := range rep.GetRows() {
		sn.versions[row.GetKey()] = row.GetVersion()
		msg := map[string]proto.Message{HeadKey: sn.head, OperationsKey: sn.operations}[row.GetKey()]
		if err := proto.Unmarshal(row.GetValue(), msg); err != nil {
			return nil, code.Internal.Wrap(err)
		}
	}
	return sn, nil
}

func (sn *snapshot) operation(id string) *configpb.Operation { return find(sn.operations, id) }

func (sn *snapshot) request(kept *configpb.Operation, ceilingMS int64) (*platformpb.CommitRequest, error) {
	head := &configpb.Head{Version: kept.GetVersion(), Hash: kept.GetHash(), LeaseCeilingMs: ceilingMS}
	ops := &configpb.Operations{Recent: append(slices.Clone(sn.operations.GetRecent()), kept)}
	if len(ops.GetRecent()) > maxRecent {
		ops.Recent = ops.GetRecent()[len(ops.GetRecent())-maxRecent:]
	}
	req := &platformpb.CommitRequest{Operation: kept.GetId()}
	for _, row := range []struct {
		key string
		msg proto.Message
	}{{HeadKey, head}, {OperationsKey, ops}} {
		raw, err := proto.Marshal(row.msg)
		if err != nil {
			return nil, code.Internal.Wrap(err)
		}
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: row.key, Version: sn.versions[row.key]})
		req.Writes = append(req.Writes, &platformpb.Write{Key: row.key, Value: raw})
	}
	return req, nil
}
