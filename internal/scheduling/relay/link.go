package relay

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
)

// link is the stream to one entry. It is opened when a call first asks for it, and again some time after it was lost.
type link struct {
	re      *Relay
	address string

	mu      sync.Mutex
	sm      relaypb.DRPCRelay_CarryClient
	cancel  context.CancelFunc
	dialing bool
	closed  bool
	// retryMS is when a lost link may be opened again.
	retryMS int64
	lastID  int64
	waiting map[int64]chan *relaypb.Result
	// unanswered counts the calls that timed out since the last result.
	unanswered int
	// aheadMS is by how much the entry's clock was ahead of this one, or a little less, when they were compared at comparedMS, 0 if they weren't.
	aheadMS    int64
	comparedMS int64
	// sending serializes writes to the stream.
	sending sync.Mutex
}

// outcome tells what became of a call that was to be passed on.
type outcome int

const (
	answered outcome = iota
	// notSent calls were certainly not passed on.
	notSent
	// inDoubt calls may have been made.
	inDoubt
)

const (
	// dialTimeoutMS bounds the time to open a link.
	dialTimeoutMS = 500
	// retryAfterMS is how long a lost link isn't used.
	retryAfterMS = 2000
	// maxUnanswered is the number of calls without a result after which a link counts as lost.
	maxUnanswered = 2
	// maxComparisonAgeMS is how long a comparison of two clocks, which may run at different rates, is used.
	maxComparisonAgeMS = 5000
)

func newLink(re *Relay, address string) *link {
	return &link{re: re, address: address, waiting: map[int64]chan *relaypb.Result{}}
}

// pairHash ranks the links for a VM independently of the other links.
func pairHash(vm, address string) uint64 { return xxhash.Sum64String(vm + " " + address) }

// ready reports whether the link is open, and begins to open it if it isn't.
func (lk *link) ready() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.sm != nil {
		return true
	}
	if !lk.closed && !lk.dialing && lk.re.ck.Now() >= lk.retryMS {
		lk.dialing = true
		go lk.open()
	}
	return false
}

func (lk *link) open() {
	ctx, cancel := context.WithCancel(context.Background())
	stopTimer := lk.re.ck.AfterFunc(dialTimeoutMS, cancel)
	sm, err := lk.re.Dial(ctx, lk.address)
	inTime := stopTimer()
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.dialing = false
	if err != nil || !inTime || lk.closed {
		cancel()
		lk.retryMS = lk.re.ck.Now() + retryAfterMS
		return
	}
	lk.sm, lk.cancel, lk.unanswered, lk.comparedMS = sm, cancel, 0, 0
	lk.re.lg.Info("relay-opened", "address", lk.address)
	go lk.receive(sm)
	go lk.askClock(ctx, sm)
}

// askClock asks for the entry's clock, so that starts can be passed on before other calls were.
func (lk *link) askClock(ctx context.Context, sm relaypb.DRPCRelay_CarryClient) {
	limited, cancel := lk.re.ck.WithTimeout(ctx, dialTimeoutMS)
	defer cancel()
	if err := lk.send(limited, sm, &relaypb.Call{}); err != nil {
		lk.lose(sm, "send failed: "+err.Error())
	}
}

// receive hands results to the calls that wait for them until the stream ends.
func (lk *link) receive(sm relaypb.DRPCRelay_CarryClient) {
	for {
		rs, err := sm.Recv()
		if err != nil {
			lk.lose(sm, "stream ended: "+err.Error())
			return
		}
		lk.mu.Lock()
		ch, ok := lk.waiting[rs.GetId()]
		delete(lk.waiting, rs.GetId())
		lk.unanswered = 0
		if lk.sm == sm {
			lk.compareClocks(rs.GetClockMs())
		}
		lk.mu.Unlock()
		if ok {
			ch <- rs
		}
	}
}

// compareClocks compares the entry's clock with this one when a result is received. The fastest of the last results tells most; the caller holds the lock.
func (lk *link) compareClocks(entryMS int64) {
	nowMS := lk.re.ck.Now()
	aheadMS := entryMS - nowMS
	if entryMS > 0 && (aheadMS >= lk.aheadMS || nowMS-lk.comparedMS >= maxComparisonAgeMS) {
		lk.aheadMS, lk.comparedMS = aheadMS, nowMS
	}
}

// latestMS returns the time on the entry's clock at which the caller of a call that is passed on now gives up, or 0 and false if that isn't known.
func (lk *link) latestMS(timeoutMS int64) (int64, bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	nowMS := lk.re.ck.Now()
	if lk.comparedMS == 0 || nowMS-lk.comparedMS >= maxComparisonAgeMS {
		return 0, false
	}
	return nowMS + lk.aheadMS + timeoutMS, true
}

// lose closes a stream, unless it was replaced already; the calls that wait for it stay in doubt.
func (lk *link) lose(sm relaypb.DRPCRelay_CarryClient, reason string) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.sm != sm || sm == nil {
		return
	}
	lk.re.lg.Info("relay-lost", "address", lk.address, "reason", reason, "waiting", len(lk.waiting))
	lk.drop()
	lk.retryMS = lk.re.ck.Now() + retryAfterMS
}

// drop ends the stream and the calls that wait for it; the caller holds the lock.
func (lk *link) drop() {
	lk.cancel()
	lk.sm = nil
	for id, ch := range lk.waiting {
		close(ch)
		delete(lk.waiting, id)
	}
}

func (lk *link) close() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.closed = true
	if lk.sm != nil {
		lk.drop()
	}
}

// call passes a call on and waits for its result.
func (lk *link) call(ctx context.Context, ca *relaypb.Call) (*relaypb.Result, outcome) {
	sm, ch := lk.register(ca)
	if sm == nil {
		return nil, notSent
	}
	if err := lk.send(ctx, sm, ca); err != nil {
		lk.lose(sm, "send failed: "+err.Error())
		return nil, inDoubt
	}
	select {
	case rs, ok := <-ch:
		if !ok {
			return nil, inDoubt
		}
		return rs, answered
	case <-ctx.Done():
		lk.giveUp(sm, ca.GetId())
		return nil, inDoubt
	}
}

// send writes a call to the stream. A write that is blocked until the call's time is up ends the link, since nothing else would end it.
func (lk *link) send(ctx context.Context, sm relaypb.DRPCRelay_CarryClient, ca *relaypb.Call) error {
	stop := context.AfterFunc(ctx, func() { lk.lose(sm, "send blocked") })
	defer stop()
	lk.sending.Lock()
	defer lk.sending.Unlock()
	return sm.Send(ca)
}

// register numbers a call and returns the stream to send it on, nil if there is none, and the channel for its result.
func (lk *link) register(ca *relaypb.Call) (relaypb.DRPCRelay_CarryClient, chan *relaypb.Result) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.sm == nil {
		return nil, nil
	}
	lk.lastID++
	ca.Id = lk.lastID
	ch := make(chan *relaypb.Result, 1)
	lk.waiting[ca.Id] = ch
	return lk.sm, ch
}

// giveUp stops waiting for a call, and for the whole link after maxUnanswered such calls.
func (lk *link) giveUp(sm relaypb.DRPCRelay_CarryClient, id int64) {
	lk.mu.Lock()
	delete(lk.waiting, id)
	lk.unanswered++
	lost := lk.unanswered >= maxUnanswered
	lk.mu.Unlock()
	if lost {
		lk.lose(sm, "calls unanswered")
	}
}
