package publish

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// Publisher commits configuration versions; its function fields access the object store, validate a bundle against the running fleet and return the accepted version and the held bundle.
type Publisher struct {
	tbl      *table.Client
	put      func(ctx context.Context, name string, content []byte) error
	get      func(ctx context.Context, name string) ([]byte, error)
	check    func(old, next *bundle.Bundle) error
	accepted func() uint64
	held     func() *bundle.Bundle
}

// Keys of the rows that order the configuration versions and record recent operations.
const (
	HeadKey       = "config/head"
	OperationsKey = "config/operations"
)

const (
	maxRecentOperations = 32
	maxAttempts         = 8
)

// New returns a publisher; check validates a proposed bundle against the running fleet, where old is nil for the first version.
func New(
	tbl *table.Client,
	put func(ctx context.Context, name string, content []byte) error,
	get func(ctx context.Context, name string) ([]byte, error),
	check func(old, next *bundle.Bundle) error,
	accepted func() uint64,
) *Publisher {
	return &Publisher{tbl: tbl, put: put, get: get, check: check, accepted: accepted, held: func() *bundle.Bundle { return nil }}
}

// SetHeld sets the function that returns the bundle held by this entry, which saves reading the base from the object store.
func (pb *Publisher) SetHeld(held func() *bundle.Bundle) { pb.held = held }

// ObjectName returns the object name of the content with the hash.
func ObjectName(hash string) string { return "config-" + hash }

// Publish commits the bundle as the next version and returns the recorded operation; it is idempotent by operation id, a repeated call returns the first outcome.
func (pb *Publisher) Publish(ctx context.Context, operation string, raw []byte, list []signoff.SignOff) (*configpb.Operation, error) {
	bd, err := bundle.Parse(raw)
	if err != nil {
		return nil, err
	}
	for range maxAttempts {
		sn, err := pb.snapshot(ctx)
		if err != nil {
			return nil, code.NotYetKept.New("cannot read the table: %w", err)
		}
		if op := sn.operation(operation); op != nil {
			return recordedOutcome(op, bd)
		}
		req, op, err := pb.prepare(ctx, sn, operation, bd, list)
		if err != nil {
			return nil, err
		}
		committed, err := pb.commit(ctx, req, operation)
		if err != nil || committed {
			return op, err
		}
	}
	return nil, code.NotYetKept.New("no version committed in %d attempts: the head or the operations were changed concurrently each time", maxAttempts)
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
	signers, err := pb.authorize(old, bd, list)
	if err != nil {
		return nil, nil, err
	}
	canon, err := bd.Bytes()
	if err != nil {
		return nil, nil, err
	}
	if err := pb.put(ctx, ObjectName(bd.Hash()), canon); err != nil {
		return nil, nil, code.NotYetKept.New("cannot write to the object store: %w", err)
	}
	op := &configpb.Operation{Id: operation, Version: bd.Version(), Hash: bd.Hash(), Signers: signers}
	req, err := sn.commitRequest(op, pb.leaseCeilingMS(sn.head, old, bd))
	return req, op, err
}

// authorize checks the sign-offs against the rules of the version that the bundle replaces, so that an operator who was removed in that version can't sign any more; it also checks the key succession and the running fleet.
func (pb *Publisher) authorize(old, bd *bundle.Bundle, list []signoff.SignOff) ([]string, error) {
	rules := old
	if old == nil {
		rules = bd
	}
	signers, err := signoff.Verify(rules, bd.Hash(), list)
	if err != nil {
		return nil, err
	}
	if old != nil {
		if err := checkKeySuccession(old, bd); err != nil {
			return nil, err
		}
	}
	return signers, pb.check(old, bd)
}

// base returns the bundle of the head, or nil if there is no head yet.
func (pb *Publisher) base(ctx context.Context, head *configpb.Head) (*bundle.Bundle, error) {
	if head.GetVersion() == 0 {
		return nil, nil
	}
	if bd := pb.held(); bd != nil && bd.Hash() == head.GetHash() {
		return bd, nil
	}
	raw, err := pb.get(ctx, ObjectName(head.GetHash()))
	if err != nil {
		return nil, code.NotYetKept.New("cannot read bundle version %d: %w", head.GetVersion(), err)
	}
	bd, err := bundle.Parse(raw)
	if err != nil {
		return nil, err
	}
	if bd.Hash() != head.GetHash() {
		return nil, code.BundleMalformed.New("the content of bundle version %d does not have the hash %s of its head", head.GetVersion(), head.GetHash())
	}
	return bd, nil
}

// leaseCeilingMS returns the longest lease that an entry may hold under any version up to the new one; once the base is accepted, the lease lengths of versions before it no longer count.
func (pb *Publisher) leaseCeilingMS(head *configpb.Head, old, bd *bundle.Bundle) int64 {
	if old == nil {
		return bd.ConfigLeaseMS()
	}
	maxMS := max(old.ConfigLeaseMS(), bd.ConfigLeaseMS())
	if pb.accepted() < head.GetVersion() {
		maxMS = max(maxMS, head.GetLeaseCeilingMs())
	}
	return maxMS
}

// commit retries the same conditional write while its outcome is in doubt; its conditions ensure that it takes effect at most once.
func (pb *Publisher) commit(ctx context.Context, req *platformpb.CommitRequest, operation string) (bool, error) {
	inDoubt := false
	var lastErr error
	for range maxAttempts {
		rep, err := pb.tbl.Commit(ctx, req)
		if err == nil {
			return rep.GetCommitted() || containsOperation(rep.GetRows(), operation), nil
		}
		lastErr = err
		inDoubt = inDoubt || code.Of(err) == code.TableInDoubt
		if !inDoubt {
			return false, code.NotYetKept.New("cannot write to the table: %w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return false, code.TableInDoubt.New("outcome of operation %s is unknown, repeat it to learn the outcome: %w", operation, lastErr)
}

// recordedOutcome returns the operation recorded under a repeated id, or an error if it published another bundle.
func recordedOutcome(op *configpb.Operation, bd *bundle.Bundle) (*configpb.Operation, error) {
	if op.GetHash() != bd.Hash() {
		return nil, code.OperationRepeated.New("operation %s has already published version %d with hash %s", op.GetId(), op.GetVersion(), op.GetHash())
	}
	return op, nil
}

// checkKeySuccession rejects a bundle in which a key of its base is missing without being withdrawn or changes its team or hash, or in which a withdrawn key is no longer listed as withdrawn.
func checkKeySuccession(old, bd *bundle.Bundle) error {
	withdrawn := map[string]bool{}
	for _, id := range bd.WithdrawnKeys() {
		withdrawn[id] = true
	}
	for _, id := range old.WithdrawnKeys() {
		if !withdrawn[id] {
			return code.BundleInvalid.New("key %s was withdrawn: expected it to stay in withdrawn-keys", id)
		}
	}
	type teamKey struct {
		team, id string
	}
	newKeys := map[teamKey]key.Key{}
	for _, tm := range bd.Teams() {
		for _, ky := range tm.Keys() {
			newKeys[teamKey{tm.Name(), ky.ID()}] = ky
		}
	}
	for _, tm := range old.Teams() {
		for _, ky := range tm.Keys() {
			if withdrawn[ky.ID()] {
				continue
			}
			if newKeys[teamKey{tm.Name(), ky.ID()}] != ky {
				return code.BundleInvalid.New("key %s of team %s is missing or changed: expected it unchanged or in withdrawn-keys", ky.ID(), tm.Name())
			}
		}
	}
	return nil
}

// containsOperation reports whether the operation is among the recent ones in the rows that a failed commit returned.
func containsOperation(rows []*platformpb.Row, operation string) bool {
	for _, row := range rows {
		ops := &configpb.Operations{}
		if row.GetKey() != OperationsKey || proto.Unmarshal(row.GetValue(), ops) != nil {
			continue
		}
		if findOperation(ops, operation) != nil {
			return true
		}
	}
	return false
}

func findOperation(ops *configpb.Operations, operation string) *configpb.Operation {
	i := slices.IndexFunc(ops.GetRecent(), func(op *configpb.Operation) bool { return op.GetId() == operation })
	if i < 0 {
		return nil
	}
	return ops.GetRecent()[i]
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
			return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
		}
	}
	return sn, nil
}

func (sn *snapshot) operation(id string) *configpb.Operation { return findOperation(sn.operations, id) }

func (sn *snapshot) commitRequest(op *configpb.Operation, ceilingMS int64) (*platformpb.CommitRequest, error) {
	head := &configpb.Head{Version: op.GetVersion(), Hash: op.GetHash(), LeaseCeilingMs: ceilingMS}
	ops := &configpb.Operations{Recent: append(slices.Clone(sn.operations.GetRecent()), op)}
	if len(ops.GetRecent()) > maxRecentOperations {
		ops.Recent = ops.GetRecent()[len(ops.GetRecent())-maxRecentOperations:]
	}
	req := &platformpb.CommitRequest{Operation: op.GetId()}
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
