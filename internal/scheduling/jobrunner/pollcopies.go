package jobrunner

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// maxPollCopies is how often one poll of a responsive VM is sent at most.
const maxPollCopies = 5

// pollCopies sends one poll, and sends it again while no answer comes, since a single answer may just be lost.
type pollCopies struct {
	rn      *Runner
	req     *workpb.LookRequest
	answers chan pollAnswer
	sent    int
	// most is how many copies may be sent.
	most int
	// lateMS is when the answer to the last copy is due, apart from how long answers take.
	lateMS int64
}

// pollAnswer is the outcome of one copy of a poll.
type pollAnswer struct {
	look    *workpb.Look
	verdict workpb.Verdict
	sentMS  int64
	tookMS  int64
	// copy numbers the copies from 1.
	copy int
}

// sendPoll sends a poll, maxCopies times at most, and returns the first answer. The poll fails when its first copy does, so that a silent VM is noticed no later for the others.
func (rn *Runner) sendPoll(ctx context.Context, req *workpb.LookRequest, maxCopies int) pollAnswer {
	pc := &pollCopies{rn: rn, req: req, answers: make(chan pollAnswer, maxCopies), most: maxCopies}
	pc.sendCopy(ctx)
	for {
		an, answered := pc.wait()
		switch {
		case !answered:
			pc.repeatIfLate(ctx)
		case an.copy == 1 || (an.verdict != workpb.Verdict_IN_DOUBT && an.verdict != workpb.Verdict_NOT_SENT):
			return an
		}
	}
}

// sendCopy sends the poll once more; only the first copy may wait for the end of a run. The answer goes to answers, which has room for all copies.
func (pc *pollCopies) sendCopy(ctx context.Context) {
	rn, req, number, sentMS := pc.rn, pc.req, pc.sent+1, pc.rn.ck.Now()
	pc.sent = number
	if number > 1 && req.GetWaitMs() > 0 {
		req = proto.Clone(req).(*workpb.LookRequest)
		req.WaitMs = 0
	}
	pc.lateMS = sentMS + req.GetWaitMs()
	go func() {
		lk, vd := rn.deps.Poll(ctx, req)
		tookMS := rn.ck.Now() - sentMS
		if vd == workpb.Verdict_ACCEPTED && req.GetWaitMs() == 0 {
			rn.pollRetry.Record(tookMS)
		}
		pc.answers <- pollAnswer{look: lk, verdict: vd, sentMS: sentMS, tookMS: tookMS, copy: number}
	}()
}

// wait waits for the answer to a copy, or until another copy may be due.
func (pc *pollCopies) wait() (an pollAnswer, answered bool) {
	if pc.sent == pc.most {
		return <-pc.answers, true
	}
	due := make(chan struct{})
	stopTimer := pc.rn.ck.AfterFunc(pc.waitMS(), func() { close(due) })
	defer stopTimer()
	select {
	case an = <-pc.answers:
		return an, true
	case <-due:
		return pollAnswer{}, false
	}
}

// waitMS returns how long to wait before the next copy.
func (pc *pollCopies) waitMS() int64 {
	return max(pc.lateMS+pc.rn.pollRetry.MS()-pc.rn.ck.Now(), 0)
}

// repeatIfLate sends another copy, unless answers have turned out to take longer since the last one was sent.
func (pc *pollCopies) repeatIfLate(ctx context.Context) {
	if pc.waitMS() == 0 {
		pc.sendCopy(ctx)
	}
}
