package ownership

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// transferState is what an entry knows of the request for the ownership of a weaker owner.
type transferState struct {
	// requested is set while the request that this entry saw last is its own.
	requested bool
	// token is the ownership that it last asked for.
	token int64
	// version is that of the request's row, which changed last at changedMS; triedMS is when this entry last looked at it.
	version   int64
	changedMS int64
	triedMS   int64
}

// The request lies beside the candidates, so that it uses nothing of what the store serves for the partition of the owner's commits.
const (
	transfersTable     = "ownership-transfers"
	transfersPartition = candidatesPartition
	transfersKey       = key

	// requestIntervalMS is how often a request is written anew, maxRequestIntervalMS how often every entry that wants the ownership looks at it at least; requestSilenceMS is after what time without that another entry replaces it.
	requestIntervalMS    = 500
	maxRequestIntervalMS = 60_000
	requestSilenceMS     = 2000
	// requestTimeoutMS bounds the calls of one request, so that they don't keep the entry from its polls of the row.
	requestTimeoutMS = 400
	// maxRequestReadMS is the duration of a read of the row from which an entry, or the store, is too slow for a change of owner.
	maxRequestReadMS = 200
	// lastingTransferMS is the term of an owner after which a transfer to it counts as a success; lastingTermMS is that of any owner after which short terms are forgotten.
	lastingTransferMS = 10_000
	lastingTermMS     = 600_000
)

// RequestTransfer asks for the ownership if its owner is alive and weaker than this entry, and no other entry asks for it that is as strong; it reports whether this entry begins to ask. It must follow a poll, and is to be called after each one.
func (ow *Ownership) RequestTransfer(ctx context.Context) (begun bool, err error) {
	if !ow.isStrongerThanOwner() {
		ow.transfer.requested = false
		return false, nil
	}
	nowMS := ow.ck.Now()
	if !ow.isReadyToOwn(nowMS) || nowMS-ow.transfer.triedMS < ow.requestIntervalMS() {
		return false, nil
	}
	ow.transfer.triedMS = nowMS
	ctx, cancel := ow.ck.WithTimeout(ctx, requestTimeoutMS)
	defer cancel()
	rq, version, err := ow.ReadTransferRequest(ctx)
	if err != nil {
		return false, err
	}
	if version != ow.transfer.version {
		ow.transfer.version, ow.transfer.changedMS = version, nowMS
	}
	if ow.leavesTo(rq, nowMS) {
		ow.transfer.requested = false
		return false, nil
	}
	begun = !ow.transfer.requested || ow.transfer.token != ow.row.GetToken()
	if err := ow.writeRequest(ctx); err != nil {
		return false, err
	}
	return begun, nil
}

// isStrongerThanOwner reports whether this entry is stronger than the owner seen last.
func (ow *Ownership) isStrongerThanOwner() bool {
	owner := ow.row.GetStrength()
	return !ow.row.GetReleased() && owner > 0 && owner < ow.strength
}

// isReadyToOwn reports whether this entry may take over from an owner that renews its lease.
func (ow *Ownership) isReadyToOwn(nowMS int64) bool {
	return nowMS-ow.unchangedSinceMS < LeaseMS && ow.lastReadTookMS < maxRequestReadMS && ow.ru.MayRequest(nowMS)
}

// requestIntervalMS returns how often this entry looks at the request. Entries that rank far behind do so much less often, so that the reads of all of them hardly grow with their number.
func (ow *Ownership) requestIntervalMS() int64 {
	if ow.transfer.requested {
		return requestIntervalMS
	}
	group := int64(1 + ow.ahead/strongWatchers)
	return min(requestIntervalMS*group*group, maxRequestIntervalMS)
}

// leavesTo reports whether another entry asks for the ownership that is as strong as this one and seems to be up.
func (ow *Ownership) leavesTo(rq *workpb.TransferRequest, nowMS int64) bool {
	if rq.GetToken() != ow.row.GetToken() || rq.GetEntry() == ow.entry || rq.GetStrength() < ow.strength {
		return false
	}
	return nowMS-ow.transfer.changedMS < requestSilenceMS
}

// writeRequest writes the request of this entry; it gives way to one that was written meanwhile.
func (ow *Ownership) writeRequest(ctx context.Context) error {
	rq := &workpb.TransferRequest{Token: ow.row.GetToken(), Entry: ow.entry, Incarnation: ow.incarnation, Strength: ow.strength}
	raw, err := proto.Marshal(rq)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	tx := rowstore.NewTx(transfersPartition).Require(transfersTable, transfersKey, ow.transfer.version).Put(transfersTable, transfersKey, raw)
	version, _, err := ow.st.Commit(ctx, tx)
	ow.transfer.requested = err == nil
	if err != nil {
		return err
	}
	ow.transfer.token, ow.transfer.version, ow.transfer.changedMS = rq.GetToken(), version, ow.ck.Now()
	return nil
}

// ReadTransferRequest returns the last request for the ownership and its version; one that can't be decoded counts as a request for no ownership.
func (ow *Ownership) ReadTransferRequest(ctx context.Context) (*workpb.TransferRequest, int64, error) {
	rw, ok, err := ow.st.Get(ctx, transfersTable, transfersPartition, transfersKey)
	if err != nil {
		return nil, 0, err
	}
	rq := &workpb.TransferRequest{}
	if ok && proto.Unmarshal(rw.Value(), rq) != nil {
		rq = &workpb.TransferRequest{}
	}
	return rq, rw.Version(), nil
}

// Strength returns the strength of this entry.
func (ow *Ownership) Strength() int64 { return ow.strength }

// ShortTransfers returns how many transfers to stronger entries were followed by a short term, up to this ownership. It must not be called while a commit is under way.
func (ow *Ownership) ShortTransfers() int32 { return ow.row.GetShortTransfers() }

// RecordYield records that this entry gave up the ownership because it was overloaded, after it had scheduled for termMS.
func (ow *Ownership) RecordYield(termMS int64) { ow.ru.RecordYield(ow.ck.Now(), termMS) }

// isTransfer reports whether the free row was released at the request of an entry that is no stronger than this one.
func (ow *Ownership) isTransfer() bool {
	strength := ow.row.GetReleasedToStrength()
	return ow.row.GetReleased() && strength > 0 && strength <= ow.strength
}

// shortTransfers returns how many transfers were followed by a short term, that of the last owner included, unless it handed over to a still stronger entry.
func (ow *Ownership) shortTransfers() int32 {
	if ow.row.GetTransferred() && ow.row.GetReleasedToStrength() == 0 {
		return ow.row.GetShortTransfers() + 1
	}
	return ow.row.GetShortTransfers()
}

// hasLasted reports whether this owner's term is long enough for earlier short ones to be forgotten.
func (ow *Ownership) hasLasted() bool {
	termMS := ow.ck.Now() - ow.tokenSinceMS
	if ow.row.GetTransferred() {
		return termMS >= lastingTransferMS
	}
	return termMS >= lastingTermMS
}
