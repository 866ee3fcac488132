package limit

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	maxWrites           = 4
	maxDeferrableWrites = 2
	noUnits             = 0
)

// change describes the purpose of a rewrite of a team's row.
type change struct {
	// want is how many units to add at most to the own part.
	want int64
	// removeHolder names an incarnation whose part is removed.
	removeHolder string
	// convertLoan names a loan whose units move from the own part to the borrower's.
	convertLoan string
	// deferrable leaves the rewrite to a later tick after a second conflict.
	deferrable bool
}

// draft is a rewrite that is about to be committed.
type draft struct {
	row           *limitpb.Row
	baseVersion   uint64
	own           int64
	holdMS        int64
	bundleVersion uint64
	others        int64
	limit         int64
	loan          *loanOut
	loanID        string
}

// rewrite changes the own part in the team's row by compare-and-set; it does nothing while this entry is rewriting the row already.
func (hd *Holder) rewrite(ctx context.Context, tl *teamLimit, ch change) error {
	if !tl.lockRow() {
		return nil
	}
	defer tl.unlockRow()
	tries := maxWrites
	if ch.deferrable {
		tries = maxDeferrableWrites
	}
	for range tries {
		if err := hd.ensureRow(ctx, tl); err != nil {
			return err
		}
		dr := hd.planRewrite(tl, ch)
		if dr == nil {
			return nil
		}
		done, err := hd.commit(ctx, tl, dr)
		if err != nil || done {
			return err
		}
	}
	if ch.deferrable {
		return nil
	}
	return code.Conflict.New("limit of team %s: no commit in %d attempts: the row was changed concurrently each time", tl.team, tries)
}

func (hd *Holder) ensureRow(ctx context.Context, tl *teamLimit) error {
	tl.mu.Lock()
	known := tl.rowKnown
	tl.mu.Unlock()
	if known {
		return nil
	}
	row, err := hd.tc.Get(ctx, hd.key(tl.team))
	if err != nil {
		return err
	}
	if err := hd.applyRow(tl, row); err != nil {
		return err
	}
	tl.syncPart(hd.incarnation)
	return nil
}

// applyRow records a row read from the table; a newer version proves that no write in doubt, which is conditional on an older version, can still take effect.
func (hd *Holder) applyRow(tl *teamLimit, row *platformpb.Row) error {
	val := &limitpb.Row{}
	if err := proto.Unmarshal(row.GetValue(), val); err != nil {
		return code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.rowKnown && row.GetVersion() < tl.rowVersion {
		return nil
	}
	tl.row = val
	tl.rowVersion = row.GetVersion()
	tl.rowKnown = true
	tl.rowReadMS = hd.ck.Now()
	tl.inDoubt = slices.DeleteFunc(tl.inDoubt, func(at uint64) bool { return at < row.GetVersion() })
	pt := partOf(val, hd.incarnation)
	tl.mergeConverted(pt)
	if len(tl.inDoubt) == 0 && !tl.writing {
		tl.loadPart(pt)
	}
	return nil
}

// mergeConverted adds loans that the lender converted to the own part.
func (tl *teamLimit) mergeConverted(pt *limitpb.Part) {
	for _, ln := range tl.in {
		if !ln.merged && slices.Contains(pt.GetConverted(), ln.id) {
			ln.merged = true
			tl.part += ln.units
			if !ln.ended {
				tl.admissible += ln.units
			}
			tl.running += ln.running
			ln.running = 0
			tl.holdMS = max(tl.holdMS, pt.GetHoldMs())
		}
	}
	tl.in = slices.DeleteFunc(tl.in, func(ln *loanIn) bool { return ln.merged })
}

func (tl *teamLimit) loadPart(pt *limitpb.Part) {
	tl.part = pt.GetUnits()
	tl.holdMS = pt.GetHoldMs()
}

func (hd *Holder) planRewrite(tl *teamLimit, ch change) *draft {
	loanMS, maxRunMS, draining := hd.timing()
	now := hd.ck.Now()
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.expire(now)
	dr := &draft{row: proto.CloneOf(tl.row), baseVersion: tl.rowVersion, bundleVersion: tl.bundleVersion}
	dr.limit = tl.applyLimit(dr.row)
	mine := partOf(dr.row, hd.incarnation)
	if ch.removeHolder != "" {
		removePart(dr.row, ch.removeHolder)
	}
	dr.others = total(dr.row) - mine.GetUnits()
	dr.holdMS = max(mine.GetHoldMs(), loanMS+maxRunMS)
	available := max(0, dr.limit-dr.others)
	keep := min(mine.GetUnits(), max(tl.inUse(), tl.admissible, tl.reducedPart))
	dr.own = max(keep, min(mine.GetUnits()+ch.want, available))
	if draining {
		dr.own = min(mine.GetUnits(), tl.inUse())
	}
	if !hd.convert(tl, dr, ch.convertLoan, mine) {
		return nil
	}
	if dr.unchanged(tl, mine, ch) {
		return nil
	}
	if mine != nil {
		mine.Converted = nil
	}
	setPart(dr.row, hd.incarnation, dr.own, dr.holdMS)
	tl.part = min(tl.part, dr.own)
	return dr
}

// applyLimit writes a newer limit into the row and returns the effective one: an entry with an older bundle uses the lower of both.
func (tl *teamLimit) applyLimit(row *limitpb.Row) int64 {
	if tl.bundleVersion >= row.GetBundleVersion() {
		row.Limit = tl.limit
		row.BundleVersion = tl.bundleVersion
		return tl.limit
	}
	return min(tl.limit, row.GetLimit())
}

// convert moves the units of a loan to the borrower's part; it returns false when the loan has ended or the own part no longer covers it.
func (hd *Holder) convert(tl *teamLimit, dr *draft, id string, mine *limitpb.Part) bool {
	if id == "" {
		return true
	}
	ln := tl.out[id]
	if ln == nil || dr.own < ln.units || mine.GetUnits() < ln.units {
		return false
	}
	dr.own -= ln.units
	dr.others += ln.units
	dr.loan = ln
	dr.loanID = id
	to := partOf(dr.row, ln.borrower)
	setPart(dr.row, ln.borrower, to.GetUnits()+ln.units, max(to.GetHoldMs(), dr.holdMS))
	to = partOf(dr.row, ln.borrower)
	to.Converted = append(to.Converted, id)
	return true
}

// unchanged reports whether the draft changes nothing that has to be written: the own part, its hold time, a removed or converted part, a reduced limit or a write in doubt. When nothing has to be written, it also ends a reduction and raises admissible to the units that the limit allows.
func (dr *draft) unchanged(tl *teamLimit, mine *limitpb.Part, ch change) bool {
	if dr.own != mine.GetUnits() || ch.removeHolder != "" || ch.convertLoan != "" || len(tl.inDoubt) > 0 {
		return false
	}
	if dr.own > noUnits && (dr.holdMS != mine.GetHoldMs() || tl.reducing) {
		return false
	}
	tl.reducing = false
	tl.admissible = max(tl.admissible, min(dr.own, dr.limit-dr.others))
	return true
}

func (hd *Holder) commit(ctx context.Context, tl *teamLimit, dr *draft) (bool, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(dr.row)
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	key := hd.key(tl.team)
	rep, err := hd.tc.Commit(ctx, &platformpb.CommitRequest{
		Operation:  hd.nextID(),
		Conditions: []*platformpb.Condition{{Key: key, Version: dr.baseVersion}},
		Writes:     []*platformpb.Write{{Key: key, Value: raw}},
	})
	if err != nil {
		if code.Of(err) == code.TableBudget || hd.disabledRule == "doubt" {
			tl.syncPart(hd.incarnation)
			return false, err
		}
		tl.recordInDoubt(dr)
		return false, err
	}
	if !rep.GetCommitted() {
		return false, hd.conflict(tl, dr, rep)
	}
	for _, row := range rep.GetRows() {
		if row.GetKey() == key {
			tl.committed(dr, row.GetVersion())
		}
	}
	return true, nil
}

// recordInDoubt remembers a write that may still take effect; until the row has a newer version, the entry uses only the units that it holds with either outcome.
func (tl *teamLimit) recordInDoubt(dr *draft) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.inDoubt = append(tl.inDoubt, dr.baseVersion)
	tl.rowKnown = false
}

func (hd *Holder) conflict(tl *teamLimit, dr *draft, rep *platformpb.CommitReply) error {
	for _, row := range rep.GetRows() {
		if row.GetKey() != hd.key(tl.team) {
			continue
		}
		if err := hd.applyRow(tl, row); err != nil {
			return err
		}
		tl.syncPart(hd.incarnation)
		return nil
	}
	return code.Internal.New("limit of team %s: the commit conflicts with version %d of the row, but the reply lacks the row", tl.team, dr.baseVersion)
}

// syncPart loads the own part from the row unless a write is in doubt.
func (tl *teamLimit) syncPart(incarnation string) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if len(tl.inDoubt) == 0 && tl.rowKnown {
		tl.loadPart(partOf(tl.row, incarnation))
	}
}

func (tl *teamLimit) committed(dr *draft, version uint64) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if dr.loan != nil {
		delete(tl.out, dr.loanID)
	}
	if version > tl.rowVersion {
		tl.row = dr.row
		tl.rowVersion = version
		tl.rowKnown = true
	}
	tl.inDoubt = nil
	tl.part = dr.own
	tl.holdMS = dr.holdMS
	if tl.bundleVersion != dr.bundleVersion {
		tl.admissible = min(tl.admissible, dr.own)
		return
	}
	tl.admissible = max(min(tl.admissible, dr.own), min(dr.own, dr.limit-dr.others))
	tl.reducing = false
}

func (tl *teamLimit) lockRow() bool {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.writing {
		return false
	}
	tl.writing = true
	return true
}

func (tl *teamLimit) unlockRow() {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.writing = false
}

func partOf(row *limitpb.Row, holder string) *limitpb.Part {
	for _, pt := range row.GetParts() {
		if pt.GetHolder() == holder {
			return pt
		}
	}
	return nil
}

func removePart(row *limitpb.Row, holder string) {
	row.Parts = slices.DeleteFunc(row.GetParts(), func(pt *limitpb.Part) bool { return pt.GetHolder() == holder })
}

func setPart(row *limitpb.Row, holder string, units, holdMS int64) {
	pt := partOf(row, holder)
	if pt == nil {
		pt = &limitpb.Part{Holder: holder}
		row.Parts = append(row.Parts, pt)
	}
	pt.Units = units
	pt.HoldMs = holdMS
	if units == noUnits {
		removePart(row, holder)
	}
}

func total(row *limitpb.Row) int64 {
	var sum int64
	for _, pt := range row.GetParts() {
		sum += pt.GetUnits()
	}
	return sum
}
