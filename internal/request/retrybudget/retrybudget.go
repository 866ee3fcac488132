package retrybudget

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Budget is a token bucket that allows one retry per ten requests, with a small reserve that refills over time for periods of few requests; it is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	ck         *clock.Clock
	tokens     int64
	reserve    int64
	refilledMS int64
	refused    int64
}

const (
	retryCost      = 1000
	requestDeposit = 100
	maxTokens      = 100 * retryCost
	maxReserve     = 3 * retryCost
	reservePerMS   = 1
)

// New returns a budget whose reserve allows three retries before the first request.
func New(ck *clock.Clock) *Budget {
	return &Budget{ck: ck, reserve: maxReserve, refilledMS: ck.Now()}
}

// Deposit adds the tokens of one request that is not a retry.
func (bg *Budget) Deposit() {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.tokens = min(bg.tokens+requestDeposit, maxTokens)
}

// TryWithdraw withdraws the cost of one retry and reports whether the budget allowed it.
func (bg *Budget) TryWithdraw() bool {
	now := bg.ck.Now()
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.reserve = min(bg.reserve+(now-bg.refilledMS)*reservePerMS, maxReserve)
	bg.refilledMS = now
	switch {
	case bg.tokens >= retryCost:
		bg.tokens -= retryCost
	case bg.reserve >= retryCost:
		bg.reserve -= retryCost
	default:
		bg.refused++
		return false
	}
	return true
}

// Refused returns how many retries the budget has refused.
func (bg *Budget) Refused() int64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.refused
}
