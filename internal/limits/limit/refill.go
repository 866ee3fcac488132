package limit

import (
	"context"
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	asksPerRefill = 4
	maxWant       = 32
	// An entry asks for at least one unit for each wantDivisor units that it runs.
	wantDivisor = 4
)

// refill takes units from the row or borrows them from peers; concurrent callers of the same team share one refill, and after one that found nothing the next waits for a backoff.
func (hd *Holder) refill(ctx context.Context, tl *teamLimit, maxRunMS int64) (*unit.Unit, error) {
	refused := code.LimitReached.New("team %s has no free unit of its limit", tl.team)
	done, leader := tl.joinRefill(hd.ck.Now())
	if done == nil {
		return nil, refused
	}
	if !leader {
		select {
		case <-done:
		case <-ctx.Done():
			return nil, code.LimitReached.New("waiting for a unit of the limit of team %s: %w", tl.team, ctx.Err())
		}
		if un := hd.tryAcquire(tl, maxRunMS); un != nil {
			return un, nil
		}
		return nil, refused
	}
	un := hd.runRefill(ctx, tl, maxRunMS)
	tl.endRefill(hd.ck.Now(), un != nil)
	if un == nil {
		return nil, refused
	}
	return un, nil
}

func (hd *Holder) runRefill(ctx context.Context, tl *teamLimit, maxRunMS int64) *unit.Unit {
	if _, _, draining := hd.timing(); draining {
		return nil
	}
	if un := hd.takeFromRow(ctx, tl, maxRunMS); un != nil {
		return un
	}
	for _, lender := range hd.lenders(tl) {
		if ctx.Err() != nil {
			return nil
		}
		if hd.borrow(ctx, tl, lender, maxRunMS) {
			if un := hd.tryAcquire(tl, maxRunMS); un != nil {
				return un
			}
		}
	}
	if !tl.expireRow(hd.ck.Now()) {
		return nil
	}
	return hd.takeFromRow(ctx, tl, maxRunMS)
}

func (hd *Holder) takeFromRow(ctx context.Context, tl *teamLimit, maxRunMS int64) *unit.Unit {
	want := hd.wantFromRow(tl)
	if want <= 0 || !hd.tableUp() {
		return nil
	}
	tctx, cancel := hd.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	hd.recordTableResult(hd.rewrite(tctx, tl, change{want: want}))
	return hd.tryAcquire(tl, maxRunMS)
}

// expireRow reports whether the row is too old to refuse work by it, and if so marks it to be read again.
func (tl *teamLimit) expireRow(now int64) bool {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if now-tl.rowReadMS < urgentReadIntervalMS {
		return false
	}
	tl.rowKnown = false
	return true
}

// joinRefill returns the channel that is closed at the end of the running refill, or starts a refill, which the caller then leads; nil means that the backoff after a refill without result still runs.
func (tl *teamLimit) joinRefill(now int64) (done chan struct{}, leader bool) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.recordDenied(now)
	if tl.refillDone != nil {
		return tl.refillDone, false
	}
	if now < tl.refillRetryMS {
		return nil, false
	}
	tl.refillDone = make(chan struct{})
	return tl.refillDone, true
}

func (tl *teamLimit) endRefill(now int64, found bool) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	close(tl.refillDone)
	tl.refillDone = nil
	if found {
		tl.denied = 0
		tl.backoffMS = 0
		return
	}
	tl.backoffMS = min(backoffMaxMS, max(backoffMinMS, 2*tl.backoffMS))
	tl.refillRetryMS = now + tl.backoffMS
}

// wantFromRow returns how many units to take from the row: what a starved entry asks for, or what its part lacks to an equal division among all expected entries, whichever is more; 0 when the row is known to have no free unit. Entries that aren't reachable yet count too; otherwise the first entry would take the whole limit, and its loss would block the team.
func (hd *Holder) wantFromRow(tl *teamLimit) int64 {
	entries := max(int64(len(hd.peers())+1), hd.expectedEntries())
	tl.mu.Lock()
	defer tl.mu.Unlock()
	want := tl.want()
	if !tl.rowKnown {
		return want
	}
	free := tl.rowFree()
	if free <= 0 {
		return 0
	}
	equal := max(0, ceilDiv(tl.limit, entries)-tl.part)
	if !tl.starved(hd.ck.Now()) {
		return min(free, equal)
	}
	return min(free, max(want, equal))
}

func (tl *teamLimit) want() int64 {
	return min(maxWant, max(1, tl.denied, tl.totalRunning()/wantDivisor))
}

// rowFree counts the units of the limit that no part in the row holds.
func (tl *teamLimit) rowFree() int64 {
	limit := tl.limit
	if tl.row.GetBundleVersion() > tl.bundleVersion {
		limit = min(limit, tl.row.GetLimit())
	}
	return limit - total(tl.row)
}

// lenders returns the peers to ask in this refill: sorted by descending part, with a start that rotates from refill to refill.
func (hd *Holder) lenders(tl *teamLimit) []string {
	if hd.lend == nil {
		return nil
	}
	now := hd.ck.Now()
	peers := hd.peers()
	tl.mu.Lock()
	parts := map[string]int64{}
	for _, pt := range tl.row.GetParts() {
		parts[pt.GetHolder()] = pt.GetUnits()
	}
	rowOld := now-tl.rowReadMS >= urgentReadIntervalMS
	start := tl.nextLender
	tl.nextLender += asksPerRefill
	tl.mu.Unlock()
	list := hd.usableLenders(peers, parts, rowOld, now)
	if len(list) <= asksPerRefill {
		return list
	}
	first := start % len(list)
	return append(list[first:], list[:first]...)[:asksPerRefill]
}

// usableLenders omits peers that recently failed to answer and, while the row was read recently, those without a part.
func (hd *Holder) usableLenders(peers []string, parts map[string]int64, rowOld bool, now int64) []string {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	var list []string
	for _, inc := range peers {
		if inc != hd.incarnation && now >= hd.peerRetryMS[inc] && (rowOld || len(parts) == 0 || parts[inc] > 0) {
			list = append(list, inc)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if parts[list[i]] != parts[list[j]] {
			return parts[list[i]] > parts[list[j]]
		}
		return list[i] < list[j]
	})
	return list
}

func (hd *Holder) borrow(ctx context.Context, tl *teamLimit, lender string, maxRunMS int64) bool {
	ask, version := hd.newAsk(tl, maxRunMS)
	askedMS := hd.ck.Now()
	ctx, cancel := hd.ck.WithTimeout(ctx, peerTimeoutMS)
	defer cancel()
	rep, err := hd.lend(ctx, lender, &limitpb.LendRequest{
		Kind: hd.kind, Borrower: hd.incarnation, Lender: lender, Asks: []*limitpb.Ask{ask},
	})
	if err != nil || len(rep.GetGrants()) != 1 {
		hd.pausePeer(lender)
		tl.abandon(loanRef{lender, ask.GetLoan()})
		return false
	}
	return hd.acceptLoan(tl, lender, rep.GetGrants()[0], askedMS, version)
}

func (hd *Holder) newAsk(tl *teamLimit, maxRunMS int64) (*limitpb.Ask, uint64) {
	id := hd.nextID()
	_, defaultRunMS, _ := hd.timing()
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return &limitpb.Ask{
		Team: tl.team, Loan: id, Units: tl.want(),
		Limit: tl.limit, LongestRunMs: max(defaultRunMS, maxRunMS), Holding: tl.holding(),
	}, tl.bundleVersion
}

// acceptLoan starts the use of a loan, unless the limits changed since it was requested.
func (hd *Holder) acceptLoan(tl *teamLimit, lender string, gr *limitpb.Grant, askedMS int64, version uint64) bool {
	if gr.GetUnits() <= 0 {
		return false
	}
	ln := &loanIn{
		id: gr.GetLoan(), lender: lender, units: gr.GetUnits(), reportedUnits: gr.GetUnits(),
		maxRunMS: gr.GetLongestRunMs(), lengthMS: gr.GetLengthMs(), ls: lease.New(hd.ck),
	}
	if hd.disabledRule == "asked-before" {
		askedMS = hd.ck.Now()
	}
	ln.ls.Grant(askedMS, gr.GetLengthMs(), 1)
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.bundleVersion != version {
		tl.abandoned = append(tl.abandoned, loanRef{lender, ln.id})
		return false
	}
	tl.in = append(tl.in, ln)
	return true
}

func (tl *teamLimit) abandon(ref loanRef) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.abandoned = append(tl.abandoned, ref)
}

func (hd *Holder) pausePeer(lender string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.peerRetryMS[lender] = hd.ck.Now() + peerRetryDelayMS
}

func (hd *Holder) tableUp() bool {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return hd.ck.Now() >= hd.tableRetryMS
}

func (hd *Holder) recordTableResult(err error) {
	if err == nil || code.Of(err) == code.Conflict {
		return
	}
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.tableRetryMS = hd.ck.Now() + tableRetryDelayMS
}

func ceilDiv(num, by int64) int64 { return (num + by - 1) / by }
