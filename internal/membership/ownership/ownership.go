package ownership

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/takeover"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/hedge"
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

// Tables, keys and partitions; Partition holds all rows that the owner commits.
const (
	Partition = "scheduling"
	table     = "ownership"
	key       = "owner"

	candidatesPartition = "candidates"
	candidatesTable     = "candidates"
)

const (
	// LeaseMS is how long after the start of its last applied commit an owner may order starts.
	LeaseMS = 1000
	// A commit takes about 16 ms on an unloaded store: minHedgeDelayMS is far above that, maxHedgeDelayMS above a commit slowed down by a factor of 60.
	minHedgeDelayMS = 250
	maxHedgeDelayMS = 1500
	// commitTimeoutMS is how long a commit is attempted before its failure is reported.
	commitTimeoutMS = 1500
	// hedgeDelayFactor is the ratio of the hedge delay to the duration of the last commit's answered attempt.
	hedgeDelayFactor = 6
	// linkTimes is how many times the link could carry a transaction before it is sent again.
	linkTimes = 2
	msPerS    = 1000
	// closeWatchers is the number of entries that poll at short intervals: enough that some remain after the loss of a zone.
	closeWatchers = 4
	// strongWatchers is that number for the strongest entries where weaker ones exist, so that one of them sees a free row before a weaker one has deferred to it for long enough.
	strongWatchers = 12
	// closePollIntervalMS is the poll interval of close watchers, relaxedPollIntervalMS that of the others, whose reads must be less than maxReadGapMS apart.
	closePollIntervalMS   = 250
	relaxedPollIntervalMS = 800
	// rankIntervalMS is how often an entry recomputes its rank.
	rankIntervalMS = 10_000
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

// Relays returns the availability zones of the other entries that make calls to VMs for the owner, by their addresses.
func (ow *Ownership) Relays(ctx context.Context) (map[string]string, error) {
	list, err := ow.readCandidates(ctx)
	if err != nil {
		return nil, err
	}
	zoneOf := map[string]string{}
	for name, cd := range list {
		if name != ow.entry && cd.GetAddress() != "" {
			zoneOf[cd.GetAddress()] = cd.GetZone()
		}
	}
	return zoneOf, nil
}

// readCandidates returns the registered entries by name. An unreadable row counts as none, so that it doesn't keep all entries from taking over.
func (ow *Ownership) readCandidates(ctx context.Context) (map[string]*workpb.Candidate, error) {
	list, _, err := ow.st.ReadAll(ctx, candidatesTable, candidatesPartition)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*workpb.Candidate, len(list))
	stronger := false
	for _, rw := range list {
		cd := &workpb.Candidate{}
		if proto.Unmarshal(rw.Value(), cd) == nil {
			out[rw.Key()] = cd
			stronger = stronger || cd.GetStrength() > ow.strength
		}
	}
	ow.strongerExists.Store(stronger)
	return out, nil
}

// Register stores the strength of this entry as a candidate, so that weaker entries defer to it.
func (ow *Ownership) Register(ctx context.Context) error {
	raw, err := proto.Marshal(&workpb.Candidate{Strength: ow.strength, Address: ow.relayAddress, Zone: ow.zone})
	if err != nil {
		return code.Internal.Wrap(err)
	}
	_, _, err = ow.st.Commit(ctx, rowstore.NewTx(candidatesPartition).Put(candidatesTable, ow.entry, raw))
	return err
}

// rank is the position of an entry among all candidates.
type rank struct {
	// strongerClasses counts the distinct strengths above this one, ahead the candidates that rank before this entry.
	strongerClasses int
	ahead           int
	// weakerExists is set if a candidate is weaker than this entry.
	weakerExists bool
}

// watchesClosely reports whether an entry of this rank polls the row at short intervals.
func (rk rank) watchesClosely() bool {
	if rk.strongerClasses == 0 && rk.weakerExists {
		return rk.ahead < strongWatchers
	}
	return rk.ahead < closeWatchers
}

// readRank reads the candidates and returns this entry's rank among them; entries of equal strength are ordered by a hash of their names, which spreads the first ones over the availability zones.
func (ow *Ownership) readRank(ctx context.Context) (rank, error) {
	list, err := ow.readCandidates(ctx)
	if err != nil {
		return rank{}, err
	}
	var rk rank
	stronger := map[int64]bool{}
	for name, cd := range list {
		switch {
		case cd.GetStrength() > ow.strength:
			stronger[cd.GetStrength()] = true
			rk.ahead++
		case cd.GetStrength() == ow.strength && nameHash(name) < nameHash(ow.entry):
			rk.ahead++
		case cd.GetStrength() < ow.strength:
			rk.weakerExists = true
		}
	}
	rk.strongerClasses = len(stronger)
	return rk, nil
}

// nameHash returns a number that orders names independently of their zones.
func nameHash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// deferral returns how long this entry leaves a free row to others.
func (ow *Ownership) deferral(ctx context.Context) (int64, error) {
	rk, err := ow.readRank(ctx)
	if err != nil {
		return 0, err
	}
	deferMS := ow.ru.DeferMS(rk.strongerClasses)
	switch {
	case ow.row.GetReleasedToStrength() > ow.strength:
		deferMS += takeover.TransferDeferMS
	case rk.strongerClasses > 0 && ow.isRowOfEarlierProcess():
		deferMS += takeover.OwnRowDeferMS
	}
	return deferMS, nil
}

// PollIntervalMS returns the time until the next poll: close watchers, and an entry that asks for the ownership, always poll at short intervals, other entries only while the row seems unchanged.
func (ow *Ownership) PollIntervalMS(ctx context.Context) int64 {
	nowMS := ow.ck.Now()
	if ow.rankedMS == 0 || nowMS-ow.rankedMS >= rankIntervalMS {
		rk, err := ow.readRank(ctx)
		ow.closeWatcher = err != nil || rk.watchesClosely()
		ow.ahead = rk.ahead
		ow.rankedMS = nowMS
	}
	if ow.closeWatcher || ow.transfer.requested || !ow.rowChanged {
		return closePollIntervalMS
	}
	return relaxedPollIntervalMS
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

// commit sends the same transaction again while it is unanswered; its condition on the row lets only one attempt apply.
func (ow *Ownership) commit(ctx context.Context, fill func(*rowstore.Tx), next *workpb.Ownership) error {
	ow.committing.Store(true)
	defer ow.committing.Store(false)
	startMS := ow.ck.Now()
	if ow.firstTryMS == 0 {
		ow.firstTryMS = startMS
	}
	tx := rowstore.NewTx(Partition)
	fill(tx)
	if err := ow.addRenewal(tx, next); err != nil {
		return err
	}
	limited, cancel := ow.ck.WithTimeout(ctx, commitTimeoutMS)
	defer cancel()
	delayMS := ow.hedgeDelayOf(tx)
	policy := hedge.New(ow.ck, delayMS, delayMS, isFinal)
	rs, err := hedge.Do(limited, policy, func(ctx context.Context, _ int) (commitResult, error) {
		sentMS := ow.ck.Now()
		version, current, err := ow.st.Commit(ctx, tx)
		if code.Of(err) == code.TableInDoubt {
			ow.inDoubt.Store(true)
		}
		return commitResult{version, current, ow.ck.Now() - sentMS}, err
	})
	ow.adaptHedgeDelay(code.Of(err), rs.tookMS)
	switch {
	case isConflict(err):
		return ow.resolveConflict(rs.current, next)
	case err != nil && limited.Err() != nil:
		return code.TableInDoubt.Wrap(err)
	case err != nil:
		ow.handleFailure()
		return err
	}
	ow.markApplied(next, rs.version)
	return nil
}

// handleFailure handles the failure of all attempts: unless one is in doubt, none of them can be applied any more.
func (ow *Ownership) handleFailure() {
	if !ow.inDoubt.Load() {
		ow.firstTryMS = 0
	}
}

// commitResult is the store's answer to a transaction.
type commitResult struct {
	version int64
	current []rowstore.Row
	// tookMS is how long the attempt that was answered took.
	tookMS int64
}

func isConflict(err error) bool { return code.Of(err) == code.Conflict }

// isFinal reports whether an error is a definite answer to a transaction, so that sending it again can't help.
func isFinal(err error) bool { return isConflict(err) || code.Of(err) == code.TableRefused }

// markApplied records the new version of the row. Any of the attempts may have written it, so the lease counts from the first one.
func (ow *Ownership) markApplied(next *workpb.Ownership, version int64) {
	ow.row, ow.version = next, version
	ow.renewedMS.Store(ow.firstTryMS)
	ow.firstTryMS = 0
	ow.inDoubt.Store(false)
}

// adaptHedgeDelay adapts the hedge delay to the duration of the attempts that are answered; one whose answer is lost tells nothing of the store's speed.
func (ow *Ownership) adaptHedgeDelay(result code.Code, tookMS int64) {
	if result == code.OK || result == code.Conflict {
		ow.hedgeDelayMS = min(max(hedgeDelayFactor*tookMS, minHedgeDelayMS), maxHedgeDelayMS)
	}
}

// hedgeDelayOf returns how long a transaction waits for an answer before it is sent again: no less than the link takes to carry it twice, since copies of a long transaction would fill a slow link.
func (ow *Ownership) hedgeDelayOf(tx *rowstore.Tx) int64 {
	if ow.linkBytesPerS == 0 {
		return ow.hedgeDelayMS
	}
	return max(ow.hedgeDelayMS, min(linkTimes*msPerS*int64(tx.Bytes())/ow.linkBytesPerS, maxHedgeDelayMS))
}

// resolveConflict distinguishes an earlier attempt of the same commit whose answer was lost from a takeover by another entry.
func (ow *Ownership) resolveConflict(current []rowstore.Row, next *workpb.Ownership) error {
	for _, rw := range current {
		if rw.Key() != key {
			continue
		}
		row := &workpb.Ownership{}
		if proto.Unmarshal(rw.Value(), row) != nil {
			// This entry didn't write it, so the ownership is lost.
			break
		}
		if row.GetIncarnation() == ow.incarnation && row.GetSequence() == next.GetSequence() && row.GetReleased() == next.GetReleased() {
			ow.markApplied(next, rw.Version())
			return nil
		}
	}
	ow.held.Store(false)
	ow.restore.Store(nil)
	return code.LeaseLapsed.New("another entry owns scheduling now")
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
