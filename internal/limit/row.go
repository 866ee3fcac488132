package limit

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
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
func (hd *Holder) rewrite(ctx context.Context, sh *share, ch change) error {
	if !sh.lockRow() {
		return nil
	}
	defer sh.unlockRow()
	tries := maxWrites
	if ch.deferrable {
		tries = maxDeferrableWrites
	}
	for range tries {
		if err := hd.ensureRow(ctx, sh); err != nil {
			return err
		}
		dr := hd.planRewrite(sh, ch)
		if dr == nil {
			return nil
		}
		done, err := hd.commit(ctx, sh, dr)
		if err != nil || done {
			return err
		}
	}
	if ch.deferrable {
		return nil
	}
	return code.Conflict.New("row of team %s was changed by others at each attempt", sh.team)
}

func (hd *Holder) ensureRow(ctx context.Context, sh *share) error {
	sh.mu.Lock()
	known := sh.rowKnown
	sh.mu.Unlock()
	if known {
		return nil
	}
	row, err := hd.tc.Get(ctx, hd.key(sh.team))
	if err != nil {
		return err
	}
	if err := hd.applyRow(sh, row); err != nil {
		return err
	}
	sh.syncPart(hd.incarnation)
	return nil
}

// applyRow records a row read from the table; a newer version proves that no write in doubt, which is conditional on an older version, can still take effect.
func (hd *Holder) applyRow(sh *share, row *platformpb.Row) error {
	val := &limitpb.Row{}
	if err := proto.Unmarshal(row.GetValue(), val); err != nil {
		return code.Internal.Wrap(err)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.rowKnown && row.GetVersion() < sh.rowVersion {
		return nil
	}
	sh.row = val
	sh.rowVersion = row.GetVersion()
	sh.rowKnown = true
	sh.rowReadMS = hd.ck.Now()
	sh.inDoubt = slices.DeleteFunc(sh.inDoubt, func(at uint64) bool { return at < row.GetVersion() })
	pt := partOf(val, hd.incarnation)
	sh.mergeConverted(pt)
	if len(sh.inDoubt) == 0 && !sh.writing {
		sh.loadPart(pt)
	}
	return nil
}

// mergeConverted adds loans that the lender converted to the own part.
func (sh *share) mergeConverted(pt *limitpb.Part) {
	for _, ln := range sh.in {
		if !ln.merged && slices.Contains(pt.GetConverted(), ln.id) {
			ln.merged = true
			sh.part += ln.units
			if !ln.ended {
				sh.admissible += ln.units
			}
			sh.running += ln.running
			ln.running = 0
			sh.holdMS = max(sh.holdMS, pt.GetHoldMs())
		}
	}
	sh.in = slices.DeleteFunc(sh.in, func(ln *loanIn) bool { return ln.merged })
}

func (sh *share) loadPart(pt *limitpb.Part) {
	sh.part = pt.GetUnits()
	sh.holdMS = pt.GetHoldMs()
}

func (hd *Holder) planRewrite(sh *share, ch change) *draft {
	loanMS, maxRunMS, draining := hd.timing()
	now := hd.ck.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	dr := &draft{row: proto.CloneOf(sh.row), baseVersion: sh.rowVersion, bundleVersion: sh.bundleVersion}
	dr.limit = sh.applyLimit(dr.row)
	mine := partOf(dr.row, hd.incarnation)
	if ch.removeHolder != "" {
		removePart(dr.row, ch.removeHolder)
	}
	dr.others = total(dr.row) - mine.GetUnits()
	dr.holdMS = max(mine.GetHoldMs(), loanMS+maxRunMS)
	available := max(0, dr.limit-dr.others)
	keep := min(mine.GetUnits(), max(sh.inUse(), sh.admissible, sh.reducedPart))
	dr.own = max(keep, min(mine.GetUnits()+ch.want, available))
	if draining {
		dr.own = min(mine.GetUnits(), sh.inUse())
	}
	if !hd.convert(sh, dr, ch.convertLoan, mine) {
		return nil
	}
	if dr.unchanged(sh, mine, ch) {
		return nil
	}
	if mine != nil {
		mine.Converted = nil
	}
	setPart(dr.row, hd.incarnation, dr.own, dr.holdMS)
	sh.part = min(sh.part, dr.own)
	return dr
}

// applyLimit writes a newer limit into the row and returns the effective one: an entry with an older bundle uses the lower of both.
func (sh *share) applyLimit(row *limitpb.Row) int64 {
	if sh.bundleVersion >= row.GetBundleVersion() {
		row.Limit = sh.limit
		row.BundleVersion = sh.bundleVersion
		return sh.limit
	}
	return min(sh.limit, row.GetLimit())
}

// convert moves the units of a loan to the borrower's part; it returns false when the loan has ended or the own part no longer covers it.
func (hd *Holder) convert(sh *share, dr *draft, id string, mine *limitpb.Part) bool {
	if id == "" {
		return true
	}
	ln := sh.out[id]
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

// unchanged reports whether the draft changes nothing that has to be written: the own part, its hold time, a removed or converted part, a reduced limit or a write in doubt.
func (dr *draft) unchanged(sh *share, mine *limitpb.Part, ch change) bool {
	if dr.own != mine.GetUnits() || ch.removeHolder != "" || ch.convertLoan != "" || len(sh.inDoubt) > 0 {
		return false
	}
	if dr.own > noUnits && (dr.holdMS != mine.GetHoldMs() || sh.reducing) {
		return false
	}
	sh.reducing = false
	sh.admissible = max(sh.admissible, min(dr.own, dr.limit-dr.others))
	return true
}

func (hd *Holder) commit(ctx context.Context, sh *share, dr *draft) (bool, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(dr.row)
	if err != nil {
		return false, code.Internal.Wrap(err)
	}
	key := hd.key(sh.team)
	rep, err := hd.tc.Commit(ctx, &platformpb.CommitRequest{
		Operation:  hd.nextID(),
		Conditions: []*platformpb.Condition{{Key: key, Version: dr.baseVersion}},
		Writes:     []*platformpb.Write{{Key: key, Value: raw}},
	})
	if err != nil {
		if code.Of(err) == code.TableBudget || hd.disabledRule == "doubt" {
			sh.syncPart(hd.incarnation)
			return false, err
		}
		sh.recordInDoubt(dr)
		return false, err
	}
	if !rep.GetCommitted() {
		return false, hd.conflict(sh, dr, rep)
	}
	for _, row := range rep.GetRows() {
		if row.GetKey() == key {
			sh.committed(dr, row.GetVersion())
		}
	}
	return true, nil
}

// recordInDoubt remembers a write that may still take effect; until the row has a newer version, the entry uses only the units that it holds with either outcome.
func (sh *share) recordInDoubt(dr *draft) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.inDoubt = append(sh.inDoubt, dr.baseVersion)
	sh.rowKnown = false
}

func (hd *Holder) conflict(sh *share, dr *draft, rep *platformpb.CommitReply) error {
	for _, row := range rep.GetRows() {
		if row.GetKey() != hd.key(sh.team) {
			continue
		}
		if err := hd.applyRow(sh, row); err != nil {
			return err
		}
		sh.syncPart(hd.incarnation)
		return nil
	}
	return code.Internal.New("commit conflicts with version %d, but the reply lacks the row", dr.baseVersion)
}

// syncPart loads the own part from the row unless a write is in doubt.
func (sh *share) syncPart(incarnation string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.inDoubt) == 0 && sh.rowKnown {
		sh.loadPart(partOf(sh.row, incarnation))
	}
}

func (sh *share) committed(dr *draft, version uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if dr.loan != nil {
		delete(sh.out, dr.loanID)
	}
	if version > sh.rowVersion {
		sh.row = dr.row
		sh.rowVersion = version
		sh.rowKnown = true
	}
	sh.inDoubt = nil
	sh.part = dr.own
	sh.holdMS = dr.holdMS
	if sh.bundleVersion != dr.bundleVersion {
		sh.admissible = min(sh.admissible, dr.own)
		return
	}
	sh.admissible = max(min(sh.admissible, dr.own), min(dr.own, dr.limit-dr.others))
	sh.reducing = false
}

func (sh *share) lockRow() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.writing {
		return false
	}
	sh.writing = true
	return true
}

func (sh *share) unlockRow() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.writing = false
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
