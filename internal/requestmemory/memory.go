package requestmemory

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/requestid"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Memory runs each id at most once and keeps what came of it; it is safe for concurrent use.
type Memory struct {
	ck     *clock.Clock
	keepMS func() int64

	mu      sync.Mutex
	floorMS int64
	records map[name]*record
	issued  map[int64][]name
	answers []name
	bytes   int
	swept   int64
}

// name tells the ids of one issuer apart.
type name struct {
	issuedMS int64
	seq      uint64
}

type record struct {
	fingerprint uint64
	done        chan struct{}
	ans         *callpb.Answer
	size        int
}

const (
	maxRecords     = 120_000
	maxAnswerBytes = 64 << 10
	maxBytes       = 12 << 20
	bucketMS       = 1000
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// New returns an empty memory; keepMS returns how long ids are remembered under the bundle in force.
func New(ck *clock.Clock, keepMS func() int64) *Memory {
	return &Memory{ck: ck, keepMS: keepMS, records: map[name]*record{}, issued: map[int64][]name{}}
}

// Do runs the request unless the id was seen before: a repeat waits for the first run, or gets its answer, or learns that it isn't kept.
func (mm *Memory) Do(ctx context.Context, id requestid.ID, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer {
	rec, first, refused := mm.enter(id, fingerprint)
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
	return mm.recall(req, rec)
}

// Len returns how many ids are remembered.
func (mm *Memory) Len() int {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	return len(mm.records)
}

// ErrorAnswer returns the answer in place of one that can't be given; codes from 200 to 299 mean that the request may have run.
func ErrorAnswer(req *callpb.Request, cd code.Code) *callpb.Answer {
	outcome := outcomeNotRun
	if cd >= code.MayHaveRun && cd < code.Conflict {
		outcome = outcomeUnknown
	}
	return &callpb.Answer{Id: req.GetId(), Outcome: outcome, Code: int32(cd), Status: int32(cd.Status())}
}

func (mm *Memory) enter(id requestid.ID, fingerprint uint64) (*record, bool, code.Code) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	now := mm.ck.Now()
	mm.forget(now)
	if id.IssuedMS() > now {
		return nil, false, code.RequestIDUnissued
	}
	if id.IssuedMS() <= mm.floorMS {
		return nil, false, code.RequestIDExpired
	}
	key := name{id.IssuedMS(), id.Seq()}
	if rec := mm.records[key]; rec != nil {
		if rec.fingerprint != fingerprint {
			return nil, false, code.HeaderMalformed
		}
		return rec, false, code.OK
	}
	if len(mm.records) >= maxRecords {
		return nil, false, code.QueueFull
	}
	rec := &record{fingerprint: fingerprint, done: make(chan struct{})}
	mm.records[key] = rec
	bucket := id.IssuedMS() / bucketMS
	mm.issued[bucket] = append(mm.issued[bucket], key)
	return rec, true, code.OK
}

// forget raises the floor below which every id is refused, which only ever rises, and drops what lies below it.
func (mm *Memory) forget(now int64) {
	mm.floorMS = max(mm.floorMS, now-mm.keepMS())
	if mm.floorMS/bucketMS == mm.swept {
		return
	}
	mm.swept = mm.floorMS / bucketMS
	for bucket, keys := range mm.issued {
		if (bucket+1)*bucketMS > mm.floorMS {
			continue
		}
		for _, key := range keys {
			if rec := mm.records[key]; rec != nil {
				mm.drop(rec)
				delete(mm.records, key)
			}
		}
		delete(mm.issued, bucket)
	}
	for len(mm.answers) > 0 && mm.records[mm.answers[0]] == nil {
		mm.answers = mm.answers[1:]
	}
}

// finish keeps the answer; an id whose request surely did not run may be used again.
func (mm *Memory) finish(id requestid.ID, rec *record, ans *callpb.Answer) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	key := name{id.IssuedMS(), id.Seq()}
	rec.ans = ans
	close(rec.done)
	if mm.records[key] != rec {
		return
	}
	if ans.GetOutcome() == outcomeNotRun {
		delete(mm.records, key)
		return
	}
	rec.size = proto.Size(ans)
	if rec.size > maxAnswerBytes {
		rec.ans, rec.size = nil, 0
		return
	}
	mm.bytes += rec.size
	mm.answers = append(mm.answers, key)
	for mm.bytes > maxBytes && len(mm.answers) > 0 {
		if old := mm.records[mm.answers[0]]; old != nil {
			mm.drop(old)
		}
		mm.answers = mm.answers[1:]
	}
}

func (mm *Memory) drop(rec *record) {
	mm.bytes -= rec.size
	rec.ans, rec.size = nil, 0
}

func (mm *Memory) recall(req *callpb.Request, rec *record) *callpb.Answer {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if rec.ans == nil {
		return ErrorAnswer(req, code.AnswerNotKept)
	}
	return proto.CloneOf(rec.ans)
}
