package ownership

import (
	"context"
	"hash/fnv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/takeover"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Table and partition of the candidates.
const (
	candidatesPartition = "candidates"
	candidatesTable     = "candidates"
)

const (
	// closeWatchers is the number of entries that poll at short intervals: enough that some remain after the loss of a zone.
	closeWatchers = 4
	// strongWatchers is that number for the strongest entries where weaker ones exist, so that one of them sees a free row before a weaker one has deferred to it for long enough.
	strongWatchers = 12
	// closePollIntervalMS is the poll interval of close watchers, relaxedPollIntervalMS that of the others, whose reads must be less than maxReadGapMS apart.
	closePollIntervalMS   = 250
	relaxedPollIntervalMS = 800
	// rankIntervalMS is how often an entry recomputes its rank.
	rankIntervalMS = 10_000
)

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
