package idempotencykey

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/claimpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestdedup"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Claims writes the claims of one entry and answers repeated requests from existing claims; it is safe for concurrent use.
type Claims struct {
	ck          *clock.Clock
	tc          *table.Client
	incarnation string
	retentionMS func() int64

	lg *event.Log
	bt *batcher

	mu             sync.Mutex
	seq            uint64
	pendingDeletes []pendingDelete
	// unwritten holds the outcomes that could not be stored yet.
	unwritten []outcome
}

// outcome is a claim with the outcome of its request, to be written over a version of its row.
type outcome struct {
	key     string
	version uint64
	claim   *claimpb.Claim
}

// pendingDelete is a claim of this process that is deleted when its retention period is over.
type pendingDelete struct {
	key   string
	dueMS int64
}

const (
	keyPrefix         = "request/"
	maxAnswerBytes    = 8 << 10
	maxDeletesPerCall = 8
	// maxUnwritten is how many outcomes are kept to be stored later.
	maxUnwritten  = 512
	hashBytes     = 16
	outcomeNotRun = "not-run"
)

// New returns the claims of one entry; retentionMS returns how long keys are remembered under the bundle in force.
func New(ck *clock.Clock, tc *table.Client, incarnation string, retentionMS func() int64) *Claims {
	cm := &Claims{ck: ck, tc: tc, incarnation: incarnation, retentionMS: retentionMS, lg: event.Discard()}
	cm.bt = &batcher{ck: ck, tc: tc, operation: cm.operation}
	return cm
}

// SetLog sets the event log; it must be called before the first request.
func (cm *Claims) SetLog(lg *event.Log) { cm.lg = lg }

// Do runs the request only after its claim has certainly been written. A repeat gets the answer stored in the claim, or an error answer if the request may have run.
func (cm *Claims) Do(ctx context.Context, req *callpb.Request, fingerprint uint64, run func() *callpb.Answer) *callpb.Answer {
	key := rowKey(req, fingerprint)
	claim := &claimpb.Claim{Owner: cm.incarnation, Fingerprint: fingerprint}
	row, committed, err := cm.commit(ctx, key, 0, claim)
	if err != nil {
		return requestdedup.ErrorAnswer(req, code.ClaimUnwritten)
	}
	if !committed {
		return answerRepeat(req, row, fingerprint)
	}
	ans := run()
	cm.recordOutcome(context.WithoutCancel(ctx), req.GetId(), key, row.GetVersion(), claim, ans)
	return ans
}

// Tick stores outcomes that could not be stored before and deletes claims of this process whose retention period is over; call it about every second.
func (cm *Claims) Tick(ctx context.Context) error {
	if err := cm.writeOutcomes(ctx); err != nil {
		return err
	}
	return cm.deleteExpired(ctx)
}

// writeOutcomes stores the outcomes that could not be stored before. One that was stored after all, or whose claim is gone, is dropped: its row has another version.
func (cm *Claims) writeOutcomes(ctx context.Context) error {
	cm.mu.Lock()
	due := cm.unwritten
	cm.unwritten = nil
	cm.mu.Unlock()
	for at, oc := range due {
		if _, _, err := cm.commit(ctx, oc.key, oc.version, oc.claim); err != nil {
			cm.mu.Lock()
			cm.unwritten = append(slices.Clone(due[at:]), cm.unwritten...)
			cm.mu.Unlock()
			return err
		}
	}
	return nil
}

func (cm *Claims) deleteExpired(ctx context.Context) error {
	due := cm.takeDue()
	for at, pd := range due {
		row, err := cm.tc.Get(ctx, pd.key)
		if err == nil {
			err = cm.remove(ctx, pd.key, row.GetVersion())
		}
		if err != nil {
			cm.requeue(due[at:])
			return err
		}
	}
	return nil
}

// requeue makes claims due again that could not be deleted.
func (cm *Claims) requeue(list []pendingDelete) {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.pendingDeletes = append(slices.Clone(list), cm.pendingDeletes...)
}

// DeleteOrphaned deletes the claims of permanently ended processes once the retention period has passed since a call first found them; gone reports whether a process has ended. The map seen holds when each of these claims was first found; the caller keeps it between calls.
func (cm *Claims) DeleteOrphaned(ctx context.Context, gone func(incarnation string) bool, seen map[string]int64) error {
	rep, err := cm.tc.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{keyPrefix}})
	if err != nil {
		return err
	}
	now := cm.ck.Now()
	present := map[string]bool{}
	for _, row := range rep.GetRows() {
		claim := &claimpb.Claim{}
		if proto.Unmarshal(row.GetValue(), claim) != nil || !gone(claim.GetOwner()) {
			continue
		}
		present[row.GetKey()] = true
		if _, ok := seen[row.GetKey()]; !ok {
			seen[row.GetKey()] = now
		}
		if now-seen[row.GetKey()] < cm.retentionMS() {
			continue
		}
		if err := cm.remove(ctx, row.GetKey(), row.GetVersion()); err != nil {
			return err
		}
	}
	for key := range seen {
		if !present[key] {
			delete(seen, key)
		}
	}
	return nil
}

// answerRepeat answers a repeated request from the existing claim.
func answerRepeat(req *callpb.Request, row *platformpb.Row, fingerprint uint64) *callpb.Answer {
	claim := &claimpb.Claim{}
	if row == nil || proto.Unmarshal(row.GetValue(), claim) != nil {
		return requestdedup.ErrorAnswer(req, code.MayHaveRun)
	}
	switch {
	case claim.GetFingerprint() != fingerprint:
		return requestdedup.ErrorAnswer(req, code.IDReused)
	case claim.GetAnswer() != nil:
		return claim.GetAnswer()
	case claim.GetDone():
		return requestdedup.ErrorAnswer(req, code.AnswerNotKept)
	}
	return requestdedup.ErrorAnswer(req, code.MayHaveRun)
}

// recordOutcome stores the answer in the claim; the claim of a request that certainly did not run is deleted.
func (cm *Claims) recordOutcome(ctx context.Context, id, key string, version uint64, claim *claimpb.Claim, ans *callpb.Answer) {
	if ans.GetOutcome() == outcomeNotRun {
		err := cm.remove(ctx, key, version)
		if err == nil {
			return
		}
		cm.lg.Fail("claim-undeleted", err, "request-id", id)
	}
	claim.Done = true
	if proto.Size(ans) <= maxAnswerBytes {
		claim.Answer = ans
	}
	_, _, err := cm.commit(ctx, key, version, claim)
	if err != nil {
		cm.lg.Fail("claim-outcome-unwritten", err, "request-id", id)
	}
	cm.mu.Lock()
	defer cm.mu.Unlock()
	if err != nil && len(cm.unwritten) < maxUnwritten {
		cm.unwritten = append(cm.unwritten, outcome{key, version, claim})
	}
	cm.pendingDeletes = append(cm.pendingDeletes, pendingDelete{key: key, dueMS: cm.ck.Now() + cm.retentionMS()})
}

// takeDue removes and returns the claims that are due to be deleted.
func (cm *Claims) takeDue() []pendingDelete {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	now := cm.ck.Now()
	var due []pendingDelete
	for len(due) < maxDeletesPerCall && len(cm.pendingDeletes) > 0 && cm.pendingDeletes[0].dueMS <= now {
		due = append(due, cm.pendingDeletes[0])
		cm.pendingDeletes = cm.pendingDeletes[1:]
	}
	return due
}

func (cm *Claims) commit(ctx context.Context, key string, version uint64, claim *claimpb.Claim) (*platformpb.Row, bool, error) {
	raw, err := proto.Marshal(claim)
	if err != nil {
		return nil, false, code.Internal.Wrap(err)
	}
	return cm.bt.put(ctx, &platformpb.Write{Key: key, Value: raw}, version)
}

func (cm *Claims) remove(ctx context.Context, key string, version uint64) error {
	_, _, err := cm.bt.put(ctx, &platformpb.Write{Key: key, Delete: true}, version)
	return err
}

func (cm *Claims) operation() string {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.seq++
	return fmt.Sprintf("%s-claim-%d", cm.incarnation, cm.seq)
}

// rowKey returns the key of a claim's row, a hash that doesn't reveal the caller's key. On a queue without teams the hash also covers the request itself, so that unrelated callers that choose the same key don't get each other's answers.
func rowKey(req *callpb.Request, fingerprint uint64) string {
	scope := req.GetTeam()
	if scope == "" {
		scope = "/" + strconv.FormatUint(fingerprint, 16)
	}
	sum := blake3.Sum256([]byte(scope + "\x00" + req.GetService() + "\x00" + req.GetClaim()))
	return keyPrefix + hex.EncodeToString(sum[:hashBytes])
}
