package ownership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/takeover"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Ownership is one entry's view of the ownership row; only Committing, Held, ReadTransferRequest, Relays, RemainingMS, Restoring, SinceRenewalMS and Token are safe to call concurrently with other methods.
type Ownership struct {
	st          *rowstore.Store
	ck          *clock.Clock
	entry       string
	incarnation string
	// relayAddress and zone tell others where this entry makes calls to VMs for the owner.
	relayAddress string
	zone         string

	row              *workpb.Ownership
	version          int64
	strength         int64
	unchangedSinceMS int64
	ru               *takeover.Rule
	// linkBytesPerS is the rate of this entry's link, 0 if it is unknown.
	linkBytesPerS int64
	// strongerExists is set if a candidate had more strength when the candidates were last read.
	strongerExists atomic.Bool
	// freeSinceMS is since when the row can be taken over, 0 while it cannot; deferForMS is how long this entry then defers to stronger ones.
	freeSinceMS int64
	deferForMS  int64
	lastReadMS  int64
	// lastReadTookMS is the duration of the last read of the row.
	lastReadTookMS int64
	// tokenSinceMS is when this entry first saw the current token; predecessorMS is for how long it had seen the token of the owner before it.
	tokenSinceMS  int64
	predecessorMS int64
	// releasedMS is the same for a predecessor that gave the ownership up, 0 for one that was lost.
	releasedMS int64
	// rowChanged is set when the last poll found a new version of the row.
	rowChanged bool
	// closeWatcher is set for an entry that polls the row at short intervals, as decided at rankedMS; ahead is how many candidates ranked before it then.
	closeWatcher bool
	ahead        int
	rankedMS     int64
	// transfer is this entry's request to a weaker owner.
	transfer  transferState
	renewedMS atomic.Int64
	held      atomic.Bool
	token     atomic.Int64
	// restoring and restoredBytes are stored with the next commits.
	restoring     bool
	restoredBytes int64
	// restore is the restore under way as far as this entry knows, nil if there is none.
	restore atomic.Pointer[restore]
	// committing is set while a commit is under way.
	committing atomic.Bool
	// hedgeDelayMS is how long the next commit waits for an answer before it is sent again.
	hedgeDelayMS int64
	// firstTryMS is the start of the first attempt of a commit whose outcome is unknown, else 0.
	firstTryMS int64
	// inDoubt is set once an attempt of that commit may have been applied without an answer.
	inDoubt atomic.Bool
}

// Table, key and partition of the row; Partition holds all rows that the owner commits.
const (
	Partition = "scheduling"
	table     = "ownership"
	key       = "owner"
)

const (
	// LeaseMS is how long after the start of its last applied commit an owner may order starts.
	LeaseMS = 1000
	// unknownTermMS is the assumed term of an owner that this entry found at its start.
	unknownTermMS = 3_600_000
	// maxReadGapMS is the maximum time between two reads for the row to count as watched in between.
	maxReadGapMS = 1000
)

// New returns the view of an entry. The incarnation differs at each start of its process; entries with a higher strength, which reflects their machine, are preferred as owners.
func New(st *rowstore.Store, ck *clock.Clock, entry, incarnation string, strength int64) *Ownership {
	return (&Ownership{st: st, ck: ck, entry: entry, incarnation: incarnation, strength: strength, hedgeDelayMS: minHedgeDelayMS}).WithLink(0)
}

// WithLink sets the rate of this entry's link in bytes a second, 0 if it is unknown, so that entries with faster links go first where a restore takes long.
func (ow *Ownership) WithLink(bytesPerS int64) *Ownership {
	seed := nameHash(ow.incarnation)
	ow.linkBytesPerS = bytesPerS
	ow.ru = takeover.New(bytesPerS, rand.New(rand.NewPCG(seed, seed)).Float64)
	return ow
}

// WithRelay sets the address and the availability zone at which this entry makes calls to VMs for the owner.
func (ow *Ownership) WithRelay(address, zone string) *Ownership {
	ow.relayAddress, ow.zone = address, zone
	return ow
}

// Poll reads the row and takes over ownership if the row is free; it reports whether this entry became the owner.
func (ow *Ownership) Poll(ctx context.Context) (bool, error) {
	startMS := ow.ck.Now()
	ow.rowChanged = false
	rw, ok, err := ow.st.Get(ctx, table, Partition, key)
	if err != nil {
		return false, err
	}
	nowMS := ow.ck.Now()
	row := &workpb.Ownership{}
	if ok && proto.Unmarshal(rw.Value(), row) != nil {
		// An unreadable row names no owner. It is replaced like that of a lost one: whoever renews it meanwhile changes its version.
		row = &workpb.Ownership{}
	}
	ow.rowChanged = ow.row == nil || rw.Version() != ow.version
	if ow.rowChanged || startMS-ow.lastReadMS > maxReadGapMS {
		ow.unchangedSinceMS = nowMS
	}
	if ow.rowChanged {
		// The row was owned since it was free last, by an owner that this entry hasn't seen.
		ow.freeSinceMS = 0
	}
	switch {
	case ow.row == nil:
		ow.tokenSinceMS = nowMS - unknownTermMS
	case row.GetToken() != ow.row.GetToken():
		ow.tokenSinceMS = nowMS
	}
	ow.row, ow.version = row, rw.Version()
	ow.lastReadMS, ow.lastReadTookMS = nowMS, nowMS-startMS
	ow.ru.Observe(row)
	ow.noteRestore(row)
	if !ow.isFree(startMS, ow.ru.ExpiryMS(nowMS-startMS)) || !ow.ru.MayTry(nowMS) {
		ow.freeSinceMS = 0
		return false, nil
	}
	if ow.freeSinceMS == 0 {
		ow.freeSinceMS = nowMS
		if ow.deferForMS, err = ow.deferral(ctx); err != nil {
			ow.freeSinceMS = 0
			return false, err
		}
	}
	if nowMS-ow.freeSinceMS < ow.deferForMS {
		return false, nil
	}
	ow.freeSinceMS = 0
	return ow.takeOver(ctx)
}

// isFree reports whether the row was released, names an earlier process of this entry, or was not renewed for expiryMS.
func (ow *Ownership) isFree(nowMS, expiryMS int64) bool {
	if ow.version == 0 || ow.row.GetReleased() {
		return true
	}
	return ow.isRowOfEarlierProcess() || nowMS-ow.unchangedSinceMS >= expiryMS
}

// isRowOfEarlierProcess reports whether the row names an earlier process of this entry, or an earlier term of this one, as its owner.
func (ow *Ownership) isRowOfEarlierProcess() bool {
	return !ow.row.GetReleased() && ow.row.GetEntry() == ow.entry
}

// takeOver writes this entry into the row with a new fencing token.
func (ow *Ownership) takeOver(ctx context.Context) (bool, error) {
	next := &workpb.Ownership{
		Entry: ow.entry, Incarnation: ow.incarnation, Token: ow.version + 1, Sequence: 1, Restoring: true, Strength: ow.strength,
		Transferred: ow.isTransfer(), ShortTransfers: ow.shortTransfers(),
	}
	startMS := ow.ck.Now()
	tx := rowstore.NewTx(Partition)
	if err := ow.addRenewal(tx, next); err != nil {
		return false, err
	}
	version, _, err := ow.st.Commit(ctx, tx)
	if err != nil {
		return false, err
	}
	ow.predecessorMS, ow.releasedMS = startMS-ow.tokenSinceMS, 0
	if ow.row.GetReleased() {
		ow.releasedMS = ow.predecessorMS
	}
	ow.row, ow.version = next, version
	// A commit of an earlier ownership that never got its answer doesn't count for this one.
	ow.firstTryMS = 0
	ow.inDoubt.Store(false)
	ow.tokenSinceMS = startMS
	ow.renewedMS.Store(startMS)
	ow.token.Store(next.GetToken())
	ow.held.Store(true)
	ow.restoring, ow.restoredBytes = true, 0
	ow.noteRestore(next)
	return true, nil
}

// addRenewal adds the next state of the row to a transaction, conditional on the row being unchanged since this entry last saw it.
func (ow *Ownership) addRenewal(tx *rowstore.Tx, next *workpb.Ownership) error {
	raw, err := proto.Marshal(next)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	tx.Require(table, key, ow.version).Put(table, key, raw)
	return nil
}

// Commit applies a transaction together with the renewal of the lease.
//
// It returns code.LeaseLapsed when another entry owns the row, and code.TableRefused when the store refused the changes for their content and none of them is applied; after any other error the same changes must be committed again until they are applied.
func (ow *Ownership) Commit(ctx context.Context, fill func(*rowstore.Tx)) error {
	next := ow.nextRow()
	next.Restoring, next.RestoredBytes = ow.restoring, ow.restoredBytes
	return ow.commit(ctx, fill, next)
}

// nextRow returns the row of this owner's next commit.
func (ow *Ownership) nextRow() *workpb.Ownership {
	next := &workpb.Ownership{
		Entry: ow.entry, Incarnation: ow.incarnation, Token: ow.row.GetToken(), Sequence: ow.row.GetSequence() + 1, Strength: ow.strength,
		Transferred: ow.row.GetTransferred(), ShortTransfers: ow.row.GetShortTransfers(),
	}
	if ow.hasLasted() {
		next.Transferred, next.ShortTransfers = false, 0
	}
	return next
}

// Release gives up the ownership, so that another entry need not wait for the lease to expire.
func (ow *Ownership) Release(ctx context.Context) error { return ow.ReleaseTo(ctx, 0) }

// ReleaseTo gives up the ownership at the request of an entry of the given strength, to which weaker ones defer for longer; 0 stands for no request.
func (ow *Ownership) ReleaseTo(ctx context.Context, strength int64) error {
	next := ow.nextRow()
	next.Released, next.ReleasedToStrength = true, strength
	ow.held.Store(false)
	ow.restore.Store(nil)
	return ow.commit(ctx, func(*rowstore.Tx) {}, next)
}

// Token returns the fencing token of this ownership, which increases from owner to owner.
func (ow *Ownership) Token() int64 { return ow.token.Load() }

// Version returns the version of the row as this ownership wrote it last, which is above its token, grows with each commit and is below the tokens of later owners. It must not be called while a commit is under way.
func (ow *Ownership) Version() int64 { return ow.version }

// Held reports whether the lease covers a start ordered now.
func (ow *Ownership) Held() bool { return ow.RemainingMS() > 0 }

// RemainingMS returns for how long the lease still covers orders, 0 if it doesn't.
func (ow *Ownership) RemainingMS() int64 {
	if !ow.held.Load() {
		return 0
	}
	return max(ow.renewedMS.Load()+LeaseMS-ow.ck.Now(), 0)
}

// SinceRenewalMS returns the time since the start of the last applied commit.
func (ow *Ownership) SinceRenewalMS() int64 { return ow.ck.Now() - ow.renewedMS.Load() }
