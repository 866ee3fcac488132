package limit

import (
	"context"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// Writes that nobody waits for are spread over up to so many ticks.
	spreadTicks = 8
	spreadMS    = 5000
	// A turn is taken by about so many entries at once.
	entriesPerTurn = 8

	urgentReadMS     = 1000
	convertAfterMS   = 10_000
	convertExtended  = 3
	renewNumerator   = 2
	renewDenominator = 3
)

// Tick moves idle units to where they are wanted, renews and returns loans, and brings the row up to date; call it about every 500 ms.
func (hd *Holder) Tick(ctx context.Context) {
	now := hd.ck.Now()
	shares := hd.all()
	for _, sh := range shares {
		sh.roll(now)
	}
	hd.tendLoans(ctx, shares)
	if !hd.tableUp() {
		return
	}
	if err := hd.refresh(ctx, shares); err != nil {
		hd.noteTable(err)
		return
	}
	hd.noteGone(shares, now)
	for _, sh := range shares {
		if err := hd.tend(ctx, sh, now); err != nil {
			hd.noteTable(err)
			return
		}
	}
}

// refresh reads the rows of urgent teams every second or so, and all rows much less often.
func (hd *Holder) refresh(ctx context.Context, shares []*share) error {
	now := hd.ck.Now()
	due := shares
	whole := now-hd.lastRead(&hd.readMS) >= refreshMS
	if !whole {
		due = urgentOnly(shares, now)
	}
	if len(due) == 0 || now-hd.lastRead(&hd.urgentMS) < urgentReadMS {
		return nil
	}
	if err := hd.readRows(ctx, due); err != nil {
		return err
	}
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.urgentMS = now
	if whole {
		hd.readMS = now
	}
	return nil
}

func (hd *Holder) readRows(ctx context.Context, shares []*share) error {
	tctx, cancel := hd.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	req := &platformpb.ReadRequest{}
	for _, sh := range shares {
		req.Keys = append(req.Keys, hd.key(sh.team))
	}
	rep, err := hd.tc.Read(tctx, req)
	if err != nil {
		return err
	}
	rows := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		rows[row.GetKey()] = row
	}
	for _, sh := range shares {
		row := rows[hd.key(sh.team)]
		if row == nil {
			row = &platformpb.Row{Key: hd.key(sh.team)}
		}
		if err := hd.absorb(sh, row); err != nil {
			return err
		}
	}
	return nil
}

func urgentOnly(shares []*share, now int64) []*share {
	var list []*share
	for _, sh := range shares {
		if sh.urgent(now) {
			list = append(list, sh)
		}
	}
	return list
}

func (hd *Holder) lastRead(at *int64) int64 {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return *at
}

func (sh *share) urgent(now int64) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return !sh.rowKnown || sh.hungry(now) || sh.settle || len(sh.doubts) > 0 || len(sh.in) > 0
}

// tend writes one team's row if anything about it is due.
func (hd *Holder) tend(ctx context.Context, sh *share, now int64) error {
	ch, due := hd.due(sh, now)
	if !due {
		return nil
	}
	tctx, cancel := hd.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	if err := hd.rewrite(tctx, sh, ch); code.Of(err) != code.Conflict {
		return err
	}
	return nil
}

func (hd *Holder) due(sh *share, now int64) (change, bool) {
	loanMS, longestMS, leaving := hd.timing()
	want := hd.wantFromRow(sh)
	drop := hd.dropped(sh, now)
	turn := hd.myTurn(sh, now)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	hungry := sh.hungry(now) || len(sh.in) > 0
	if leaving {
		return change{}, sh.part > 0 && sh.part > sh.inUse() || len(sh.doubts) > 0
	}
	if !hungry && !turn {
		want = 0
	}
	ch := change{want: want, loan: sh.lasting(now), patient: !hungry}
	if turn || hungry {
		ch.drop = drop
	}
	repair := sh.settle || len(sh.doubts) > 0 || (sh.part > 0 && sh.holdMS < loanMS+longestMS) || sh.limitCap < sh.part
	return ch, repair || ch.want > 0 || ch.drop != "" || ch.loan != ""
}

// lasting names a loan that was extended so often that its units had better belong to the borrower.
func (sh *share) lasting(now int64) string {
	var ids []string
	for id, ln := range sh.out {
		if ln.extended >= convertExtended && now-ln.sinceMS >= convertAfterMS {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return slices.Min(ids)
}

// myTurn spreads what is not urgent over time and entries, the more the larger the fleet is.
func (hd *Holder) myTurn(sh *share, now int64) bool {
	turns := uint64(min(spreadTicks, max(1, len(hd.peers())/entriesPerTurn)))
	slot := uint64(now / (spreadMS / spreadTicks))
	return (xxhash.Sum64String(hd.incarnation+"/"+sh.team)+slot)%turns == 0
}

// noteGone remembers when each holder was first seen to have ended for good.
func (hd *Holder) noteGone(shares []*share, now int64) {
	seen := map[string]int64{}
	hd.mu.RLock()
	old := hd.goneSeen
	hd.mu.RUnlock()
	for _, sh := range shares {
		for _, holder := range sh.holders() {
			if holder == hd.incarnation || !hd.gone(holder) {
				continue
			}
			seen[holder] = now
			if at, ok := old[holder]; ok {
				seen[holder] = at
			}
		}
	}
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.goneSeen = seen
}

func (sh *share) holders() []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []string
	for _, pt := range sh.row.GetParts() {
		list = append(list, pt.GetHolder())
	}
	return list
}

// dropped names a holder whose part may return: it ended for good, and so has all that it lent and admitted.
func (hd *Holder) dropped(sh *share, now int64) string {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, pt := range sh.row.GetParts() {
		at, ok := hd.goneSeen[pt.GetHolder()]
		if !ok {
			continue
		}
		wait := lease.ExpiredAfterMS(max(pt.GetHoldMs(), hd.loanMS+hd.longestMS))
		if hd.skip == "outwait-gone" {
			wait = 0
		}
		if now-at >= wait {
			return pt.GetHolder()
		}
	}
	return ""
}

// tendLoans sends each lender one message for the loans to extend and one for the units to return.
func (hd *Holder) tendLoans(ctx context.Context, shares []*share) {
	if hd.lend == nil {
		return
	}
	_, longestMS, leaving := hd.timing()
	lends := map[string]*limitpb.LendRequest{}
	returns := map[string]*limitpb.ReturnRequest{}
	for _, sh := range shares {
		for _, kp := range sh.keeps(leaving) {
			if kp.back != nil {
				hd.returnTo(returns, kp.lender).Keeps = append(hd.returnTo(returns, kp.lender).Keeps, kp.back)
			}
			if kp.ask != nil {
				kp.ask.LongestRunMs = longestMS
				hd.lendFrom(lends, kp.lender).Asks = append(hd.lendFrom(lends, kp.lender).Asks, kp.ask)
			}
		}
	}
	for _, lender := range sortedKeys(returns) {
		hd.sendReturn(ctx, lender, returns[lender])
	}
	for _, lender := range sortedKeys(lends) {
		hd.sendExtend(ctx, lender, lends[lender])
	}
}

func (hd *Holder) returnTo(reqs map[string]*limitpb.ReturnRequest, lender string) *limitpb.ReturnRequest {
	if reqs[lender] == nil {
		reqs[lender] = &limitpb.ReturnRequest{Kind: hd.kind, Borrower: hd.incarnation, Lender: lender}
	}
	return reqs[lender]
}

func (hd *Holder) lendFrom(reqs map[string]*limitpb.LendRequest, lender string) *limitpb.LendRequest {
	if reqs[lender] == nil {
		reqs[lender] = &limitpb.LendRequest{Kind: hd.kind, Borrower: hd.incarnation, Lender: lender}
	}
	return reqs[lender]
}

// kept is what a borrower tells one lender about one loan.
type kept struct {
	lender string
	back   *limitpb.Keep
	ask    *limitpb.Ask
}

// keeps decides for each loan how many units are still wanted, stops using the others, and forgets loans that have ended.
func (sh *share) keeps(leaving bool) []kept {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []kept
	for _, ref := range sh.forgone {
		list = append(list, kept{lender: ref.lender, back: &limitpb.Keep{Team: sh.team, Loan: ref.id}})
	}
	sh.forgone = nil
	need := sh.needBorrowed(leaving)
	for _, ln := range sh.in {
		lapsed := ln.ls.Check() != nil
		wanted := min(ln.units, max(ln.running, need))
		if lapsed || leaving {
			wanted = min(ln.units, ln.running)
		}
		ln.units = wanted
		need -= wanted
		kp := kept{lender: ln.lender}
		if ln.units != ln.told {
			kp.back = &limitpb.Keep{Team: sh.team, Loan: ln.id, Units: ln.units}
		}
		if ln.units > 0 && !leaving && !ln.ended && ln.ls.RemainingMS()*renewDenominator < ln.lengthMS*renewNumerator {
			kp.ask = &limitpb.Ask{Team: sh.team, Loan: ln.id, Units: ln.units, Extend: true, Limit: sh.limit, Holding: sh.holding() - ln.units}
		}
		list = append(list, kp)
	}
	sh.in = slices.DeleteFunc(sh.in, func(ln *loanIn) bool { return ln.units == 0 && ln.running == 0 })
	return list
}

// needBorrowed counts the units of the recent peak that the own part doesn't cover.
func (sh *share) needBorrowed(leaving bool) int64 {
	if leaving {
		return 0
	}
	peak := sh.totalRunning()
	for _, seen := range sh.peaks {
		peak = max(peak, seen)
	}
	return peak - max(0, min(sh.part, sh.limitCap)-sh.lent())
}

func (hd *Holder) sendReturn(ctx context.Context, lender string, req *limitpb.ReturnRequest) {
	ctx, cancel := hd.ck.WithTimeout(ctx, askTimeoutMS)
	defer cancel()
	if err := hd.giveBack(ctx, lender, req); err != nil {
		return
	}
	for _, kp := range req.GetKeeps() {
		hd.share(kp.GetTeam()).tell(kp)
	}
}

func (sh *share) tell(kp *limitpb.Keep) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, ln := range sh.in {
		if ln.id == kp.GetLoan() {
			ln.told = min(ln.told, kp.GetUnits())
		}
	}
}

func (hd *Holder) sendExtend(ctx context.Context, lender string, req *limitpb.LendRequest) {
	asked := hd.ck.Now()
	ctx, cancel := hd.ck.WithTimeout(ctx, askTimeoutMS)
	defer cancel()
	rep, err := hd.lend(ctx, lender, req)
	if err != nil || len(rep.GetGrants()) != len(req.GetAsks()) {
		return
	}
	if hd.skip == "asked-before" {
		asked = hd.ck.Now()
	}
	for i, gr := range rep.GetGrants() {
		hd.share(req.GetAsks()[i].GetTeam()).extend(gr, asked)
	}
}

func (sh *share) extend(gr *limitpb.Grant, asked int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, ln := range sh.in {
		if ln.id == gr.GetLoan() && gr.GetUnits() > 0 && !ln.ended {
			ln.ls.Grant(asked, gr.GetLengthMs(), 1)
			ln.longestMS = min(ln.longestMS, gr.GetLongestRunMs())
		}
	}
}

func sortedKeys[V any](reqs map[string]V) []string {
	list := make([]string, 0, len(reqs))
	for key := range reqs {
		list = append(list, key)
	}
	sort.Strings(list)
	return list
}
