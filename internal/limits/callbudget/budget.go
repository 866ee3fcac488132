package callbudget

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Budget limits the calls per second and reserves a part of the burst for urgent calls; it is safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	ck             *clock.Clock
	totalPerSecond float64
	processes      func() int
	lm             *rate.Limiter
}

const (
	minPerSecond = 1
	burstSeconds = 1
	// Calls that are not urgent leave this fraction of the burst unused.
	urgentReserveDivisor = 3
	recheckMS            = 20
)

// New returns a budget that is an equal share of totalPerSecond among the processes that the function counts.
func New(ck *clock.Clock, totalPerSecond float64, processes func() int) *Budget {
	bg := &Budget{ck: ck, totalPerSecond: totalPerSecond, processes: processes}
	perSecond := bg.share()
	bg.lm = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	return bg
}

// Take returns once a call may be made, or returns an error of code TableBudget after waitMS.
func (bg *Budget) Take(ctx context.Context, urgent bool, waitMS int64) error {
	end := bg.ck.Now() + waitMS
	for !bg.allow(urgent) {
		if bg.ck.Now() >= end {
			return code.TableBudget.New("call budget still exhausted after %d ms", waitMS)
		}
		if err := bg.ck.Sleep(ctx, recheckMS); err != nil {
			return code.TableBudget.New("waiting for the call budget: %w", err)
		}
	}
	return nil
}

func (bg *Budget) allow(urgent bool) bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	now := time.UnixMilli(bg.ck.Now())
	if perSecond := bg.share(); rate.Limit(perSecond) != bg.lm.Limit() {
		bg.lm.SetLimitAt(now, rate.Limit(perSecond))
		bg.lm.SetBurstAt(now, burst(perSecond))
	}
	if !urgent && bg.lm.TokensAt(now) < 1+float64(bg.lm.Burst())/urgentReserveDivisor {
		return false
	}
	return bg.lm.AllowN(now, 1)
}

func (bg *Budget) share() float64 {
	return max(minPerSecond, bg.totalPerSecond/float64(max(1, bg.processes())))
}

func burst(perSecond float64) int { return int(perSecond*burstSeconds) + 1 }
