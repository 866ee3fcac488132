package leaserow

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/leasepb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Row is one process's view of the row lease/<name>; it is safe for concurrent use.
type Row struct {
	mu          sync.Mutex
	ck          *clock.Clock
	tc          *table.Client
	name        string
	incarnation string
	lengthMS    int64
	ls          *lease.Lease
	seenVersion uint64
	seenSinceMS int64
	seq         uint64
}

const (
	keyPrefix = "lease/"
	// A lease is renewed once no more than this fraction of its length is left.
	renewNumerator   = 2
	renewDenominator = 3
)

// New returns a view of the named lease, which is not acquired yet.
func New(ck *clock.Clock, tc *table.Client, name, incarnation string, lengthMS int64) *Row {
	return &Row{ck: ck, tc: tc, name: name, incarnation: incarnation, lengthMS: lengthMS, ls: lease.New(ck)}
}

// Lease returns the lease, which must be checked right before each effect.
func (rw *Row) Lease() *lease.Lease { return rw.ls }

// AcquireOrRenew acquires the lease, or renews it once a third of its length has passed. Call it periodically; code LeaseHeld means that the lease of another holder may not have expired yet.
func (rw *Row) AcquireOrRenew(ctx context.Context) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if rw.ls.RemainingMS()*renewDenominator > rw.lengthMS*renewNumerator {
		return nil
	}
	row, err := rw.tc.Get(ctx, keyPrefix+rw.name)
	if err != nil {
		return err
	}
	val, err := decode(row)
	if err != nil {
		return err
	}
	rw.observe(row.GetVersion())
	if err := rw.checkFree(val); err != nil {
		rw.ls.End()
		return err
	}
	return rw.acquire(ctx, row, val)
}

// Release gives up the lease, so that the next holder need not wait for it to expire.
func (rw *Row) Release(ctx context.Context) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.ls.End()
	row, err := rw.tc.Get(ctx, keyPrefix+rw.name)
	if err != nil {
		return err
	}
	val, err := decode(row)
	if err != nil || val.GetHolder() != rw.incarnation {
		return err
	}
	val.Holder = ""
	_, err = rw.commit(ctx, row, val)
	return err
}

// observe records when the row was first seen at its version, which starts the wait for expiry anew.
func (rw *Row) observe(version uint64) {
	if version == rw.seenVersion {
		return
	}
	rw.seenVersion = version
	rw.seenSinceMS = rw.ck.Now()
}

// checkFree returns an error of code LeaseHeld while the lease of another holder may not have expired.
func (rw *Row) checkFree(val *leasepb.Lease) error {
	if val.GetHolder() == "" || val.GetHolder() == rw.incarnation {
		return nil
	}
	left := rw.seenSinceMS + lease.ExpiredAfterMS(val.GetLengthMs()) - rw.ck.Now()
	if left <= 0 {
		return nil
	}
	return code.LeaseHeld.New("lease %s: held by %s, expires within %d ms", rw.name, val.GetHolder(), left)
}

// acquire writes this holder into the row if the row is unchanged; the token increases unless this is a renewal.
func (rw *Row) acquire(ctx context.Context, row *platformpb.Row, old *leasepb.Lease) error {
	requestedMS := rw.ck.Now()
	val := &leasepb.Lease{Holder: rw.incarnation, Token: old.GetToken(), LengthMs: rw.lengthMS}
	if rw.ls.Check() != nil {
		val.Token++
	}
	committed, err := rw.commit(ctx, row, val)
	if err != nil {
		return err
	}
	if !committed {
		rw.ls.End()
		return code.LeaseHeld.New("lease %s: acquired by another process", rw.name)
	}
	rw.ls.Grant(requestedMS, rw.lengthMS, val.GetToken())
	return nil
}

func (rw *Row) commit(ctx context.Context, row *platformpb.Row, val *leasepb.Lease) (bool, error) {
	raw, err := proto.Marshal(val)
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	rw.seq++
	rep, err := rw.tc.Commit(ctx, &platformpb.CommitRequest{
		Operation:  fmt.Sprintf("%s-lease-%s-%d", rw.incarnation, rw.name, rw.seq),
		Conditions: []*platformpb.Condition{{Key: row.GetKey(), Version: row.GetVersion()}},
		Writes:     []*platformpb.Write{{Key: row.GetKey(), Value: raw}},
	})
	if err != nil {
		return false, err
	}
	return rep.GetCommitted(), nil
}

func decode(row *platformpb.Row) (*leasepb.Lease, error) {
	val := &leasepb.Lease{}
	if err := proto.Unmarshal(row.GetValue(), val); err != nil {
		return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
	}
	return val, nil
}
