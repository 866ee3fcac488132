package table

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/tablepb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// envelopeMarker is the first byte of an enveloped value; no protobuf message and no text starts with it.
	envelopeMarker = 0x00
	// maxTrailLength is the maximum number of operations in a trail; the oldest are dropped first.
	maxTrailLength = 16
	// maxCachedTrails limits the trail cache, which is cleared when it is full.
	maxCachedTrails = 65_536
)

// wrap returns the value in an envelope with the trail, extended by the operation.
func wrap(body []byte, trail []uint64, operation string) ([]byte, error) {
	trail = append(slices.Clone(trail), xxhash.Sum64String(operation))
	if over := len(trail) - maxTrailLength; over > 0 {
		trail = trail[over:]
	}
	raw, err := proto.MarshalOptions{}.MarshalAppend([]byte{envelopeMarker}, &tablepb.Envelope{Body: body, Trail: trail})
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return raw, nil
}

// unwrap returns the value and its trail; a value without an envelope is returned unchanged.
func unwrap(value []byte) (body []byte, trail []uint64) {
	if len(value) == 0 || value[0] != envelopeMarker {
		return value, nil
	}
	env := &tablepb.Envelope{}
	if err := proto.Unmarshal(value[1:], env); err != nil {
		return value, nil
	}
	return env.GetBody(), env.GetTrail()
}

func unwrapRows(rows []*platformpb.Row) {
	for _, row := range rows {
		row.Value, _ = unwrap(row.GetValue())
	}
}

// trailCache holds the operation trail of each row at the version last received, so that the next write of the row can extend it.
type trailCache struct {
	mu    sync.Mutex
	byKey map[string]rowTrail
}

// rowTrail holds hashes of the ids of the operations that last wrote a row, the newest last, and the row's version.
type rowTrail struct {
	version    uint64
	operations []uint64
}

func newTrailCache() *trailCache {
	return &trailCache{byKey: map[string]rowTrail{}}
}

// unwrapRows removes the envelopes of rows that were just received and caches their trails.
func (tc *trailCache) unwrapRows(rows []*platformpb.Row) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, row := range rows {
		var ops []uint64
		row.Value, ops = unwrap(row.GetValue())
		if row.GetVersion() == 0 {
			delete(tc.byKey, row.GetKey())
			continue
		}
		if len(tc.byKey) >= maxCachedTrails {
			clear(tc.byKey)
		}
		tc.byKey[row.GetKey()] = rowTrail{version: row.GetVersion(), operations: ops}
	}
}

// lookup returns the trail of a row's version, and false if that version isn't cached; an absent row has version 0 and an empty trail.
func (tc *trailCache) lookup(key string, version uint64) ([]uint64, bool) {
	if version == 0 {
		return nil, true
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tr, ok := tc.byKey[key]
	return tr.operations, ok && tr.version == version
}

// containsOperation reports whether the operation is among the last ones that wrote this version of the row.
func (tc *trailCache) containsOperation(row *platformpb.Row, operation string) bool {
	if row.GetOperation() == operation {
		return true
	}
	ops, ok := tc.lookup(row.GetKey(), row.GetVersion())
	return ok && slices.Contains(ops, xxhash.Sum64String(operation))
}
