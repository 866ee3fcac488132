package requestdedup

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestid"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Memory runs the request of each id at most once and caches its answer; it is safe for concurrent use.
type Memory struct {
	ck          *clock.Clock
	retentionMS func() int64

	mu sync.Mutex
	// expiredUpToMS is the latest time of issue whose ids have expired.
	expiredUpToMS int64
	records       map[recordKey]*record
	// buckets groups the keys of the records by their time of issue in units of bucketMS.
	buckets map[int64][]recordKey
	// answerOrder lists the ids with cached answers, the oldest answer first.
	answerOrder     []recordKey
	answerBytes     int
	lastSweptBucket int64
}

// recordKey identifies a request id among those of this process.
type recordKey struct {
	issuedMS int64
	seq      uint64
}

// record is the state of one id; ans is nil until the run ends and after its answer was dropped.
type record struct {
	fingerprint uint64
	done        chan struct{}
	ans         *callpb.Answer
	answerSize  int
}

const (
	maxRecords          = 120_000
	maxAnswerBytes      = 64 << 10
	maxTotalAnswerBytes = 12 << 20
	bucketMS            = 1000
	outcomeNotRun       = "not-run"
	outcomeUnknown      = "unknown"
)

// New returns an empty memory; retentionMS returns how long ids are remembered under the bundle in force.
func New(ck *clock.Clock, retentionMS func() int64) *Memory {
	return &Memory{ck: ck, retentionMS: retentionMS, records: map[recordKey]*record{}, buckets: map[int64][]recordKey{}}
}

// Do runs the request unless the id is known: a repeat waits for the first run and returns its answer, or an answer of code AnswerNotKept if that is no longer cached.
func (mm *Memory) Do(ctx context.Context, id requestid.ID, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer {
	rec, first, refused := mm.lookupOrAdd(id, fingerprint)
	if refused != code.OK {
		return ErrorAnswer(req, refused)
	}
	if first {
		ans := run()
		mm.finish(id, rec, ans)
		return ans
	}
	select {
	case <-rec.done:
	case <-ctx.Done():
		return ErrorAnswer(req, code.AnswerTimeout)
	}
	return mm.cachedAnswer(req, rec)
}

// Len returns the number of ids that are remembered.
func (mm *Memory) Len() int {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	return len(mm.records)
}

// ErrorAnswer returns the answer for a request that ended with an error code; codes from 200 to 299 mean that the request may have run.
func ErrorAnswer(req *callpb.Request, cd code.Code) *callpb.Answer {
	outcome := outcomeNotRun
	if cd >= code.MayHaveRun && cd < code.Conflict {
		outcome = outcomeUnknown
	}
	return &callpb.Answer{Id: req.GetId(), Outcome: outcome, Code: int32(cd), Status: int32(cd.Status())}
}

// lookupOrAdd returns the record of an id and whether it is new, or the code with which the request is refused.
func (mm *Memory) lookupOrAdd(id requestid.ID, fingerprint uint64) (*record, bool, code.Code) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	now := mm.ck.Now()
	mm.expire(now)
	if id.IssuedMS() > now {
		return nil, false, code.RequestIDUnissued
	}
	if id.IssuedMS() <= mm.expiredUpToMS {
		return nil, false, code.RequestIDExpired
	}
	key := recordKey{id.IssuedMS(), id.Seq()}
	if rec := mm.records[key]; rec != nil {
		if rec.fingerprint != fingerprint {
			return nil, false, code.IDReused
		}
		return rec, false, code.OK
	}
	if len(mm.records) >= maxRecords {
		return nil, false, code.QueueFull
	}
	rec := &record{fingerprint: fingerprint, done: make(chan struct{})}
	mm.records[key] = rec
	bucket := id.IssuedMS() / bucketMS
	mm.buckets[bucket] = append(mm.buckets[bucket], key)
	return rec, true, code.OK
}

// expire advances the time up to which ids have expired, which never decreases, and deletes the records of expired ids. Expired ids are refused, because whether they have run is no longer known.
func (mm *Memory) expire(now int64) {
	mm.expiredUpToMS = max(mm.expiredUpToMS, now-mm.retentionMS())
	if mm.expiredUpToMS/bucketMS == mm.lastSweptBucket {
		return
	}
	mm.lastSweptBucket = mm.expiredUpToMS / bucketMS
	for bucket, keys := range mm.buckets {
		if (bucket+1)*bucketMS > mm.expiredUpToMS {
			continue
		}
		for _, key := range keys {
			if rec := mm.records[key]; rec != nil {
				mm.dropAnswer(rec)
				delete(mm.records, key)
			}
		}
		delete(mm.buckets, bucket)
	}
	for len(mm.answerOrder) > 0 && mm.records[mm.answerOrder[0]] == nil {
		mm.answerOrder = mm.answerOrder[1:]
	}
}

// finish stores the answer of a run; the id of a request that certainly did not run may be used again. Beyond the limit of their total size, the oldest answers are dropped.
func (mm *Memory) finish(id requestid.ID, rec *record, ans *callpb.Answer) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	key := recordKey{id.IssuedMS(), id.Seq()}
	rec.ans = ans
	close(rec.done)
	if mm.records[key] != rec {
		return
	}
	if ans.GetOutcome() == outcomeNotRun {
		delete(mm.records, key)
		return
	}
	rec.answerSize = proto.Size(ans)
	if rec.answerSize > maxAnswerBytes {
		rec.ans, rec.answerSize = nil, 0
		return
	}
	mm.answerBytes += rec.answerSize
	mm.answerOrder = append(mm.answerOrder, key)
	for mm.answerBytes > maxTotalAnswerBytes && len(mm.answerOrder) > 0 {
		if old := mm.records[mm.answerOrder[0]]; old != nil {
			mm.dropAnswer(old)
		}
		mm.answerOrder = mm.answerOrder[1:]
	}
}

// dropAnswer removes the cached answer, but not the record, so that a repeat is still recognized.
func (mm *Memory) dropAnswer(rec *record) {
	mm.answerBytes -= rec.answerSize
	rec.ans, rec.answerSize = nil, 0
}

func (mm *Memory) cachedAnswer(req *callpb.Request, rec *record) *callpb.Answer {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if rec.ans == nil {
		return ErrorAnswer(req, code.AnswerNotKept)
	}
	return proto.CloneOf(rec.ans)
}
