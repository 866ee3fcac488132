package ownership

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// restore is what an entry knows of a restore under way; sinceMS is when it first saw it.
type restore struct {
	entry   string
	token   int64
	sinceMS int64
	bytes   int64
}

// noteRestore records what a version of the row says of a restore.
func (ow *Ownership) noteRestore(row *workpb.Ownership) {
	if !row.GetRestoring() || row.GetReleased() {
		ow.restore.Store(nil)
		return
	}
	next := &restore{entry: row.GetEntry(), token: row.GetToken(), sinceMS: ow.ck.Now(), bytes: row.GetRestoredBytes()}
	if last := ow.restore.Load(); last != nil && last.token == next.token {
		next.sinceMS = last.sinceMS
	}
	ow.restore.Store(next)
}

// Restoring returns the entry that restores, for how long this entry has known of it and how many bytes it has read; the entry is empty if none restores.
func (ow *Ownership) Restoring() (entry string, forMS, bytes int64) {
	rs := ow.restore.Load()
	if rs == nil {
		return "", 0, 0
	}
	return rs.entry, ow.ck.Now() - rs.sinceMS, rs.bytes
}

// ReportRestore sets how many bytes this owner has read, which the next commit stores.
func (ow *Ownership) ReportRestore(bytes int64) {
	ow.restoredBytes = bytes
	ow.noteRestore(&workpb.Ownership{Entry: ow.entry, Token: ow.Token(), Restoring: true, RestoredBytes: bytes})
}

// EndRestore makes the next commit store that this owner schedules.
func (ow *Ownership) EndRestore() {
	ow.restoring, ow.restoredBytes = false, 0
	ow.restore.Store(nil)
}

// Committing reports whether a commit is under way.
func (ow *Ownership) Committing() bool { return ow.committing.Load() }

// MayYield reports whether this owner, which is overloaded and has scheduled for termMS, gives up the ownership; linkLimited is set if its link doesn't carry the fleet's calls.
func (ow *Ownership) MayYield(termMS int64, linkLimited bool) bool {
	return ow.ru.MayYield(termMS, ow.predecessorMS, ow.releasedMS, linkLimited, ow.strongerExists.Load())
}

// RecordLostTerm records that this entry lost the ownership, or failed, after it had scheduled for scheduledMS, 0 if its restore didn't end. It returns how many terms in a row ended so and for how long this entry now leaves the ownership to others.
func (ow *Ownership) RecordLostTerm(scheduledMS int64) (failures int, waitMS int64) {
	nowMS := ow.ck.Now()
	ow.ru.RecordTerm(nowMS, scheduledMS)
	return ow.ru.Failures(), max(ow.ru.UntilMS()-nowMS, 0)
}
