package ownership

import (
	"context"
	"hash/fnv"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/hedge"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Ownership is one entry's view of the ownership row; only Held, SilentMS and Token are safe while another call is under way.
type Ownership struct {
	st          *rowstore.Store
	ck          *clock.Clock
	entry       string
	incarnation string

	row              *workpb.Ownership
	version          int64
	strength         int64
	unchangedSinceMS int64
	// freeMS is since when the row may be taken, 0 while it may not, and deferMS how long this entry then leaves it to stronger ones.
	freeSinceMS int64
	deferForMS  int64
	lastReadMS  int64
	// fresh is set when the last poll found the row changed.
	rowChanged bool
	// close is set for an entry that watches the owner closely, as of rankedMS.
	closeWatcher bool
	rankedMS     int64
	renewedMS    atomic.Int64
	held         atomic.Bool
	token        atomic.Int64
	// patienceMS is how long the next commit waits for its answer before it is tried again.
	hedgeDelayMS int64
	// firstTryMS is when the first try of a commit began that isn't known to be applied or not, else 0.
	firstTryMS int64
	// doubtful is set once a try of that commit may be applied without its answer.
	inDoubt atomic.Bool
}

// Names of the row and of the partition in which all of the owner's rows lie.
const (
	Part  = "scheduling"
	table = "ownership"
	key   = "owner"

	candidatesPart  = "candidates"
	candidatesTable = "candidates"
)

const (
	// LeaseMS is how long after the start of its last commit an owner may order starts.
	LeaseMS = 1000
	// takeoverMS is how long the row must be seen unchanged before another entry takes over; it exceeds the lease by a margin for clock rates.
	takeoverWaitMS = 1200
	// leastPatienceMS is far above the 16 ms of a commit on a calm store, mostPatienceMS above those of a store slowed down sixty times.
	minHedgeDelayMS = 250
	maxHedgeDelayMS = 1500
	// commitMS is how long a commit is tried before its failure is reported.
	commitTimeoutMS = 1500
	// patienceFactor is by how much a commit may exceed the last one's time.
	hedgeDelayFactor = 6
	// deferStepMS is how long an entry leaves the row to each class of stronger ones; it exceeds the pause between their polls.
	deferPerClassMS = 300
	// maxClasses bounds the classes that are waited for.
	maxDeferClasses = 3
	// slowReads is how many times the time of its own read an entry waits longer, since a slow store delays the owner's commits as well.
	readTimeFactor = 4
	// closeWatchers is how many entries watch the owner closely: enough that some are left after the loss of a zone.
	closeWatchers = 4
	// closeMS is the pause between polls of an entry that watches closely, relaxedMS of the others; it leaves their reads less than readGapMS apart.
	closePollMS   = 250
	relaxedPollMS = 800
	// rankGapMS is how often an entry compares itself with the others.
	rankIntervalMS = 10_000
	// readGapMS is the longest pause between reads that still counts as watching.
	maxReadGapMS = 1000
)

// New returns the view of an entry, whose incarnation differs at each start of its process; its strength compares its machine with those of other entries.
func New(st *rowstore.Store, ck *clock.Clock, entry, incarnation string, strength int64) *Ownership {
	return &Ownership{st: st, ck: ck, entry: entry, incarnation: incarnation, strength: strength, hedgeDelayMS: minHedgeDelayMS}
}

// Register tells the other entries how strong this one is, so that weaker ones leave the ownership to it.
func (ow *Ownership) Register(ctx context.Context) error {
	raw, err := proto.Marshal(&workpb.Candidate{Strength: ow.strength})
	if err != nil {
		return code.Internal.Wrap(err)
	}
	_, _, err = ow.st.Commit(ctx, rowstore.NewTx(candidatesPart).Put(candidatesTable, ow.entry, raw))
	return err
}

// rank is where an entry stands among all candidates.
type rank struct {
	// classes counts the classes of stronger entries, before the entries that come before this one.
	strongerClasses int
	ahead           int
}

// compare reads the candidates and returns this entry's rank among them; entries of the same strength come in an order that is spread over the availability zones.
func (ow *Ownership) readRank(ctx context.Context) (rank, error) {
	list, _, err := ow.st.ReadAll(ctx, candidatesTable, candidatesPart)
	if err != nil {
		return rank{}, err
	}
	var rk rank
	stronger := map[int64]bool{}
	for _, rw := range list {
		cd := &workpb.Candidate{}
		if err := proto.Unmarshal(rw.Value(), cd); err != nil {
			return rank{}, code.Internal.Wrap(err)
		}
		switch {
		case cd.GetStrength() > ow.strength:
			stronger[cd.GetStrength()] = true
			rk.ahead++
		case cd.GetStrength() == ow.strength && nameHash(rw.Key()) < nameHash(ow.entry):
			rk.ahead++
		}
	}
	rk.strongerClasses = len(stronger)
	return rk, nil
}

// spread returns a number that orders names in a way that has nothing to do with their zones.
func nameHash(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// deferral returns how long this entry leaves a free row to stronger ones.
func (ow *Ownership) deferral(ctx context.Context) (int64, error) {
	rk, err := ow.readRank(ctx)
	if err != nil {
		return 0, err
	}
	return deferPerClassMS * int64(min(rk.strongerClasses, maxDeferClasses)), nil
}

// PauseMS returns how long to wait before the next poll: some entries watch the owner closely, the others only once it seems lost.
func (ow *Ownership) PollIntervalMS(ctx context.Context) int64 {
	nowMS := ow.ck.Now()
	if ow.rankedMS == 0 || nowMS-ow.rankedMS >= rankIntervalMS {
		rk, err := ow.readRank(ctx)
		ow.closeWatcher = err != nil || rk.ahead < closeWatchers
		ow.rankedMS = nowMS
	}
	if ow.closeWatcher || !ow.rowChanged {
		return closePollMS
	}
	return relaxedPollMS
}

// Poll reads the row and takes ownership if it is free; it reports whether this entry is the owner now.
func (ow *Ownership) Poll(ctx context.Context) (bool, error) {
	startMS := ow.ck.Now()
	ow.rowChanged = false
	rw, ok, err := ow.st.Get(ctx, table, Part, key)
	if err != nil {
		return false, err
	}
	nowMS := ow.ck.Now()
	row := &workpb.Ownership{}
	if ok {
		if err := proto.Unmarshal(rw.Value(), row); err != nil {
			return false, code.Internal.Wrap(err)
		}
	}
	ow.rowChanged = ow.row == nil || rw.Version() != ow.version
	if ow.rowChanged || startMS-ow.lastReadMS > maxReadGapMS {
		ow.unchangedSinceMS = nowMS
	}
	ow.row, ow.version, ow.lastReadMS = row, rw.Version(), nowMS
	if !ow.isFree(startMS, takeoverWaitMS+readTimeFactor*(nowMS-startMS)) {
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

// free reports whether the owner has released the row, was an earlier process of this entry, or has let its lease lapse.
func (ow *Ownership) isFree(nowMS, lapsedMS int64) bool {
	if ow.version == 0 || ow.row.GetReleased() {
		return true
	}
	if ow.row.GetEntry() == ow.entry {
		return true
	}
	return nowMS-ow.unchangedSinceMS >= lapsedMS
}

func (ow *Ownership) takeOver(ctx context.Context) (bool, error) {
	next := &workpb.Ownership{Entry: ow.entry, Incarnation: ow.incarnation, Token: ow.version + 1, Sequence: 1}
	startMS := ow.ck.Now()
	tx := rowstore.NewTx(Part)
	if err := ow.addRenewal(tx, next); err != nil {
		return false, err
	}
	version, _, err := ow.st.Commit(ctx, tx)
	if err != nil {
		return false, err
	}
	ow.row, ow.version = next, version
	ow.renewedMS.Store(startMS)
	ow.token.Store(next.GetToken())
	ow.held.Store(true)
	return true, nil
}

// renewal adds the next state of the row to a transaction, on condition that it is as this entry knows it.
func (ow *Ownership) addRenewal(tx *rowstore.Tx, next *workpb.Ownership) error {
	raw, err := proto.Marshal(next)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	tx.Require(table, key, ow.version).Put(table, key, raw)
	return nil
}

// Commit adds the renewal of the lease to the transaction and applies both.
//
// It returns code.LeaseLapsed when another entry owns the row; after any other error the same changes must be given again until they are applied.
func (ow *Ownership) Commit(ctx context.Context, fill func(*rowstore.Tx)) error {
	next := &workpb.Ownership{
		Entry: ow.entry, Incarnation: ow.incarnation, Token: ow.row.GetToken(), Sequence: ow.row.GetSequence() + 1,
	}
	return ow.commit(ctx, fill, next)
}

// Release gives the ownership up at once.
func (ow *Ownership) Release(ctx context.Context) error {
	next := &workpb.Ownership{
		Entry: ow.entry, Incarnation: ow.incarnation, Token: ow.row.GetToken(), Sequence: ow.row.GetSequence() + 1, Released: true,
	}
	ow.held.Store(false)
	return ow.commit(ctx, func(*rowstore.Tx) {}, next)
}

// commit tries the same transaction again while it has no answer, since only one of the tries can apply.
func (ow *Ownership) commit(ctx context.Context, fill func(*rowstore.Tx), next *workpb.Ownership) error {
	startMS := ow.ck.Now()
	if ow.firstTryMS == 0 {
		ow.firstTryMS = startMS
	}
	tx := rowstore.NewTx(Part)
	fill(tx)
	if err := ow.addRenewal(tx, next); err != nil {
		return err
	}
	limited, cancel := ow.ck.WithTimeout(ctx, commitTimeoutMS)
	defer cancel()
	policy := hedge.New(ow.ck, ow.hedgeDelayMS, ow.hedgeDelayMS, isConflict)
	rs, err := hedge.Do(limited, policy, func(ctx context.Context, _ int) (commitResult, error) {
		version, current, err := ow.st.Commit(ctx, tx)
		if code.Of(err) == code.TableInDoubt {
			ow.inDoubt.Store(true)
		}
		return commitResult{version, current}, err
	})
	ow.adaptHedgeDelay(code.Of(err), ow.ck.Now()-startMS)
	switch {
	case isConflict(err):
		return ow.resolveConflict(rs.current, next)
	case err != nil && limited.Err() != nil:
		return code.TableInDoubt.Wrap(err)
	case err != nil:
		ow.noteFailure()
		return err
	}
	ow.markApplied(next, rs.version)
	return nil
}

// refused takes up that all tries have failed: without one in doubt, nothing of them can be applied any more.
func (ow *Ownership) noteFailure() {
	if !ow.inDoubt.Load() {
		ow.firstTryMS = 0
	}
}

// written is the store's answer to a transaction.
type commitResult struct {
	version int64
	current []rowstore.Row
}

func isConflict(err error) bool { return code.Of(err) == code.Conflict }

// applied takes up that the row has a new version; any of the tries may have written it, so the lease counts from the first.
func (ow *Ownership) markApplied(next *workpb.Ownership, version int64) {
	ow.row, ow.version = next, version
	ow.renewedMS.Store(ow.firstTryMS)
	ow.firstTryMS = 0
	ow.inDoubt.Store(false)
}

// learn adapts the patience to how long commits take.
func (ow *Ownership) adaptHedgeDelay(result code.Code, tookMS int64) {
	if result == code.OK || result == code.Conflict {
		ow.hedgeDelayMS = min(max(hedgeDelayFactor*tookMS, minHedgeDelayMS), maxHedgeDelayMS)
	}
}

// explain tells an earlier try of the same commit, whose answer was lost, from a takeover by another entry.
func (ow *Ownership) resolveConflict(current []rowstore.Row, next *workpb.Ownership) error {
	for _, rw := range current {
		if rw.Key() != key {
			continue
		}
		row := &workpb.Ownership{}
		if err := proto.Unmarshal(rw.Value(), row); err != nil {
			return code.Internal.Wrap(err)
		}
		if row.GetIncarnation() == ow.incarnation && row.GetSequence() == next.GetSequence() && row.GetReleased() == next.GetReleased() {
			ow.markApplied(next, rw.Version())
			return nil
		}
	}
	ow.held.Store(false)
	return code.LeaseLapsed.New("another entry schedules now")
}

// Token returns the fencing token of this ownership, which rises from owner to owner.
func (ow *Ownership) Token() int64 { return ow.token.Load() }

// Held reports whether the lease covers a start that is ordered now.
func (ow *Ownership) Held() bool { return ow.held.Load() && ow.ck.Now()-ow.renewedMS.Load() < LeaseMS }

// SilentMS returns how long ago the last successful commit began.
func (ow *Ownership) SinceRenewalMS() int64 { return ow.ck.Now() - ow.renewedMS.Load() }
