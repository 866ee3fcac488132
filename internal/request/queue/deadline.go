package queue

import (
	"math"

	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// admit refuses a request whose estimated wait and run time exceed the time left until its deadline. The code is LimitReached if the team's own limit holds the request back, DeadlineHopeless otherwise.
func (qu *Queue[T]) admit(fl *flow[T], remainingMS int64) error {
	limit := qu.currentLimit(fl)
	if limit <= 0 {
		return refusal.New(code.LimitReached, remainingMS)
	}
	if fl.running+fl.length == 0 {
		return nil
	}
	wait := qu.waitMS(fl)
	if wait == 0 {
		return nil
	}
	excess := wait + fl.tailRunMS(&qu.overall) - remainingMS
	if excess <= 0 {
		return nil
	}
	cd := code.DeadlineHopeless
	if fl.running >= limit {
		cd = code.LimitReached
	}
	return refusal.New(cd, min(excess, wait))
}

// waitMS estimates the wait of a new request: the waiting work of its team, including the request, divided by the slots that the team may use under its share and limit. A team of share 0 also waits for the work of all other teams.
func (qu *Queue[T]) waitMS(fl *flow[T]) int64 {
	limit := qu.currentLimit(fl)
	slots := float64(max(qu.slots(), 1))
	if len(qu.waiting) == 0 && len(qu.running) < int(slots) && fl.running < limit {
		return 0
	}
	ownWork := float64(fl.length+1) * fl.mean(&qu.overall)
	otherWork, fraction := qu.competingLoad(fl)
	if fraction == 0 {
		return int64(math.Ceil((otherWork + ownWork) / min(slots, float64(max(limit, 1)))))
	}
	return int64(math.Ceil(ownWork / min(slots*fraction, float64(max(limit, 1)))))
}

// currentLimit returns how many requests of the team may run at once. A limit observed within the last observedLimitTTLMS applies if it is below the configured one.
func (qu *Queue[T]) currentLimit(fl *flow[T]) int {
	limit := qu.limit(fl.team)
	if fl.observedLimit > 0 && qu.ck.Now()-fl.observedLimitMS < observedLimitTTLMS {
		return min(limit, fl.observedLimit)
	}
	return limit
}

// competingLoad returns the estimated work that other teams have waiting, and the team's fraction of the slots among backlogged teams.
func (qu *Queue[T]) competingLoad(fl *flow[T]) (work, fraction float64) {
	share := qu.share(fl.team)
	total := share
	for _, other := range qu.backlogged {
		if other != fl {
			total += qu.share(other.team)
			work += float64(other.length) * other.mean(&qu.overall)
		}
	}
	return work, float64(share) / float64(max(total, 1))
}

// checkDeadline returns an error if the request would probably run past its deadline. A team with nothing running is exempt from the estimate: one request of each team may run however long earlier ones took, so that the estimate can recover.
func (qu *Queue[T]) checkDeadline(it *item[T], now int64) error {
	if now >= it.deadlineMS {
		return code.DeadlinePassed
	}
	if it.fl.running == 0 || now+it.fl.tailRunMS(&qu.overall) <= it.deadlineMS {
		return nil
	}
	return refusal.New(code.DeadlineHopeless, qu.waitMS(it.fl))
}

// armTimer makes expire run at the deadline unless a timer for an earlier or equal time is pending.
func (qu *Queue[T]) armTimer(deadlineMS int64) {
	if qu.timerMS != 0 && qu.timerMS <= deadlineMS {
		return
	}
	qu.timerMS = deadlineMS
	qu.ck.AfterFunc(max(deadlineMS-qu.ck.Now(), 0), func() { qu.expire(deadlineMS) })
}

// expire drops all requests whose deadline has passed, and arms the timer for the next deadline unless another timer has replaced this one.
func (qu *Queue[T]) expire(timerMS int64) {
	now := qu.ck.Now()
	var expired []*item[T]
	qu.mu.Lock()
	for len(qu.byDeadline) > 0 && qu.byDeadline[0].deadlineMS <= now {
		expired = append(expired, qu.byDeadline[0])
		qu.remove(qu.byDeadline[0])
	}
	if qu.timerMS == timerMS {
		qu.timerMS = 0
		if len(qu.byDeadline) > 0 {
			qu.armTimer(qu.byDeadline[0].deadlineMS)
		}
	}
	qu.mu.Unlock()
	for _, it := range expired {
		qu.onDrop(it.val, code.DeadlinePassed)
	}
}
