package limit

import (
	"context"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// Writes that no request waits for are spread over up to spreadTicks intervals, which last spreadMS together.
	spreadTicks = 8
	spreadMS    = 5000
	// About this many entries may write the same row in one interval.
	entriesPerWriteTurn = 8

	urgentReadIntervalMS = 1000
	convertAfterMS       = 10_000
	convertMinExtensions = 3
	renewNumerator       = 2
	renewDenominator     = 3
)

// Tick extends and returns loans, reads the teams' rows and writes the changes that are due; call it about every 500 ms.
func (hd *Holder) Tick(ctx context.Context) {
	now := hd.ck.Now()
	teams := hd.sortedTeams()
	for _, tl := range teams {
		tl.rollPeaks(now)
	}
	hd.maintainLoans(ctx, teams)
	if !hd.tableUp() {
		return
	}
	if err := hd.refresh(ctx, teams); err != nil {
		hd.recordTableResult(err)
		return
	}
	hd.recordGone(teams, now)
	for _, tl := range teams {
		if err := hd.maintainRow(ctx, tl, now); err != nil {
			hd.recordTableResult(err)
			return
		}
	}
}

// refresh reads the rows of urgent teams once per urgentReadIntervalMS, and all rows once per fullReadIntervalMS.
func (hd *Holder) refresh(ctx context.Context, teams []*teamLimit) error {
	now := hd.ck.Now()
	due := teams
	full := now-hd.lastRead(&hd.fullReadMS) >= fullReadIntervalMS
	if !full {
		due = urgentOnly(teams, now)
	}
	if len(due) == 0 || now-hd.lastRead(&hd.urgentMS) < urgentReadIntervalMS {
		return nil
	}
	if err := hd.readRows(ctx, due); err != nil {
		return err
	}
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.urgentMS = now
	if full {
		hd.fullReadMS = now
	}
	return nil
}

func (hd *Holder) readRows(ctx context.Context, teams []*teamLimit) error {
	tctx, cancel := hd.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	req := &platformpb.ReadRequest{}
	for _, tl := range teams {
		req.Keys = append(req.Keys, hd.key(tl.team))
	}
	rep, err := hd.tc.Read(tctx, req)
	if err != nil {
		return err
	}
	rows := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		rows[row.GetKey()] = row
	}
	for _, tl := range teams {
		row := rows[hd.key(tl.team)]
		if row == nil {
			row = &platformpb.Row{Key: hd.key(tl.team)}
		}
		if err := hd.applyRow(tl, row); err != nil {
			return err
		}
	}
	return nil
}

func urgentOnly(teams []*teamLimit, now int64) []*teamLimit {
	var list []*teamLimit
	for _, tl := range teams {
		if tl.urgent(now) {
			list = append(list, tl)
		}
	}
	return list
}

func (hd *Holder) lastRead(at *int64) int64 {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	return *at
}

func (tl *teamLimit) urgent(now int64) bool {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return !tl.rowKnown || tl.starved(now) || tl.reducing || len(tl.inDoubt) > 0 || len(tl.in) > 0
}

// maintainRow writes one team's row if a change is due.
func (hd *Holder) maintainRow(ctx context.Context, tl *teamLimit, now int64) error {
	ch, due := hd.dueChange(tl, now)
	if !due {
		return nil
	}
	tctx, cancel := hd.ck.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	if err := hd.rewrite(tctx, tl, ch); code.Of(err) != code.Conflict {
		return err
	}
	return nil
}

func (hd *Holder) dueChange(tl *teamLimit, now int64) (change, bool) {
	loanMS, maxRunMS, draining := hd.timing()
	want := hd.wantFromRow(tl)
	goneHolder := hd.reclaimable(tl, now)
	turn := hd.isWriteTurn(tl, now)
	tl.mu.Lock()
	defer tl.mu.Unlock()
	needsUnits := tl.starved(now) || len(tl.in) > 0
	if draining {
		return change{}, tl.part > 0 && tl.part > tl.inUse() || len(tl.inDoubt) > 0
	}
	if !needsUnits && !turn {
		want = 0
	}
	ch := change{want: want, convertLoan: tl.loanToConvert(now), deferrable: !needsUnits}
	if turn || needsUnits {
		ch.removeHolder = goneHolder
	}
	repair := tl.reducing || len(tl.inDoubt) > 0 || (tl.part > 0 && tl.holdMS < loanMS+maxRunMS) || tl.admissible < tl.part
	return ch, repair || ch.want > 0 || ch.removeHolder != "" || ch.convertLoan != ""
}

// loanToConvert returns the id of a loan that was extended so often that its units should move to the borrower's part, "" if there is none.
func (tl *teamLimit) loanToConvert(now int64) string {
	var ids []string
	for id, ln := range tl.out {
		if ln.extensions >= convertMinExtensions && now-ln.sinceMS >= convertAfterMS {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return slices.Min(ids)
}

// isWriteTurn reports whether this entry may write a row now for a change that isn't urgent; such writes are spread over entries and time, over more ticks in a larger fleet.
func (hd *Holder) isWriteTurn(tl *teamLimit, now int64) bool {
	turns := uint64(min(spreadTicks, max(1, len(hd.peers())/entriesPerWriteTurn)))
	interval := uint64(now / (spreadMS / spreadTicks))
	return (xxhash.Sum64String(hd.incarnation+"/"+tl.team)+interval)%turns == 0
}

// recordGone remembers when each holder was first seen to have ended permanently.
func (hd *Holder) recordGone(teams []*teamLimit, now int64) {
	seen := map[string]int64{}
	hd.mu.RLock()
	old := hd.goneSinceMS
	hd.mu.RUnlock()
	for _, tl := range teams {
		for _, holder := range tl.holders() {
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
	hd.goneSinceMS = seen
}

func (tl *teamLimit) holders() []string {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	var list []string
	for _, pt := range tl.row.GetParts() {
		list = append(list, pt.GetHolder())
	}
	return list
}

// reclaimable returns a holder whose part may be removed, because it ended permanently and all that it lent and admitted has ended too; "" if there is none.
func (hd *Holder) reclaimable(tl *teamLimit, now int64) string {
	hd.mu.RLock()
	defer hd.mu.RUnlock()
	tl.mu.Lock()
	defer tl.mu.Unlock()
	for _, pt := range tl.row.GetParts() {
		at, ok := hd.goneSinceMS[pt.GetHolder()]
		if !ok {
			continue
		}
		wait := lease.ExpiredAfterMS(max(pt.GetHoldMs(), hd.loanMS+hd.maxRunMS))
		if hd.disabledRule == "outwait-gone" {
			wait = 0
		}
		if now-at >= wait {
			return pt.GetHolder()
		}
	}
	return ""
}

// maintainLoans sends each lender one request for the loans to extend and one for the units to return.
func (hd *Holder) maintainLoans(ctx context.Context, teams []*teamLimit) {
	if hd.lend == nil {
		return
	}
	_, maxRunMS, draining := hd.timing()
	lends := map[string]*limitpb.LendRequest{}
	returns := map[string]*limitpb.ReturnRequest{}
	for _, tl := range teams {
		for _, lu := range tl.loanUpdates(draining) {
			if lu.keep != nil {
				hd.returnTo(returns, lu.lender).Keeps = append(hd.returnTo(returns, lu.lender).Keeps, lu.keep)
			}
			if lu.ask != nil {
				lu.ask.LongestRunMs = maxRunMS
				hd.lendFrom(lends, lu.lender).Asks = append(hd.lendFrom(lends, lu.lender).Asks, lu.ask)
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

// loanUpdate holds what a borrower sends to one lender about one loan: the units it keeps, a request to extend it, or both.
type loanUpdate struct {
	lender string
	keep   *limitpb.Keep
	ask    *limitpb.Ask
}

// loanUpdates decides for each loan how many units are still needed, stops using the others, and removes loans that have ended.
func (tl *teamLimit) loanUpdates(draining bool) []loanUpdate {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	var list []loanUpdate
	for _, ref := range tl.abandoned {
		list = append(list, loanUpdate{lender: ref.lender, keep: &limitpb.Keep{Team: tl.team, Loan: ref.id}})
	}
	tl.abandoned = nil
	need := tl.needBorrowed(draining)
	for _, ln := range tl.in {
		expired := ln.ls.Check() != nil
		wanted := min(ln.units, max(ln.running, need))
		if expired || draining {
			wanted = min(ln.units, ln.running)
		}
		ln.units = wanted
		need -= wanted
		lu := loanUpdate{lender: ln.lender}
		if ln.units != ln.reportedUnits {
			lu.keep = &limitpb.Keep{Team: tl.team, Loan: ln.id, Units: ln.units}
		}
		if ln.units > 0 && !draining && !ln.ended && ln.ls.RemainingMS()*renewDenominator < ln.lengthMS*renewNumerator {
			lu.ask = &limitpb.Ask{Team: tl.team, Loan: ln.id, Units: ln.units, Extend: true, Limit: tl.limit, Holding: tl.holding() - ln.units}
		}
		list = append(list, lu)
	}
	tl.in = slices.DeleteFunc(tl.in, func(ln *loanIn) bool { return ln.units == 0 && ln.running == 0 })
	return list
}

// needBorrowed counts the units of the recent peak that the own part doesn't cover.
func (tl *teamLimit) needBorrowed(draining bool) int64 {
	if draining {
		return 0
	}
	peak := tl.totalRunning()
	for _, seen := range tl.peaks {
		peak = max(peak, seen)
	}
	return peak - max(0, min(tl.part, tl.admissible)-tl.lent())
}

func (hd *Holder) sendReturn(ctx context.Context, lender string, req *limitpb.ReturnRequest) {
	ctx, cancel := hd.ck.WithTimeout(ctx, peerTimeoutMS)
	defer cancel()
	if err := hd.giveBack(ctx, lender, req); err != nil {
		return
	}
	for _, kp := range req.GetKeeps() {
		hd.limitOf(kp.GetTeam()).recordReported(kp)
	}
}

func (tl *teamLimit) recordReported(kp *limitpb.Keep) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	for _, ln := range tl.in {
		if ln.id == kp.GetLoan() {
			ln.reportedUnits = min(ln.reportedUnits, kp.GetUnits())
		}
	}
}

func (hd *Holder) sendExtend(ctx context.Context, lender string, req *limitpb.LendRequest) {
	askedMS := hd.ck.Now()
	ctx, cancel := hd.ck.WithTimeout(ctx, peerTimeoutMS)
	defer cancel()
	rep, err := hd.lend(ctx, lender, req)
	if err != nil || len(rep.GetGrants()) != len(req.GetAsks()) {
		return
	}
	if hd.disabledRule == "asked-before" {
		askedMS = hd.ck.Now()
	}
	for i, gr := range rep.GetGrants() {
		hd.limitOf(req.GetAsks()[i].GetTeam()).extend(gr, askedMS)
	}
}

func (tl *teamLimit) extend(gr *limitpb.Grant, askedMS int64) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	for _, ln := range tl.in {
		if ln.id == gr.GetLoan() && gr.GetUnits() > 0 && !ln.ended {
			ln.ls.Grant(askedMS, gr.GetLengthMs(), 1)
			ln.maxRunMS = min(ln.maxRunMS, gr.GetLongestRunMs())
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
