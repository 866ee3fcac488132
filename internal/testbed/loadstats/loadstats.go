package loadstats

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally holds the outcomes and latencies of one team's requests; latency counts from the intended time of sending, so that a delay in sending is included.
type Tally struct {
	team      string
	sent      int
	outcomes  map[string]int
	codes     map[int]int
	latencies *hdrhistogram.Histogram
}

// NoCode is recorded for a request without a complete answer.
const NoCode = -1

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeBroken   = "broken"

	lowestMS          = 1
	highestMS         = 600_000
	significantDigits = 3
)

// New returns an empty tally of a team.
func New(team string) *Tally {
	return &Tally{
		team: team, outcomes: map[string]int{}, codes: map[int]int{},
		latencies: hdrhistogram.New(lowestMS, highestMS, significantDigits),
	}
}

// Team returns the team's name.
func (tl *Tally) Team() string { return tl.team }

// Sent returns how many requests were sent.
func (tl *Tally) Sent() int { return tl.sent }

// Answered returns how many complete answers were received.
func (tl *Tally) Answered() int { return tl.outcomes[outcomeAnswered] }

// NotRun returns how many requests were refused without being run.
func (tl *Tally) NotRun() int { return tl.outcomes[outcomeNotRun] }

// Unknown returns how many requests may have run but got no complete answer.
func (tl *Tally) Unknown() int { return tl.sent - tl.Answered() - tl.NotRun() }

// Broken returns how many answers claimed to be complete but weren't; a correct entry sends none.
func (tl *Tally) Broken() int { return tl.outcomes[outcomeBroken] }

// Codes returns how often each result code was received.
func (tl *Tally) Codes() map[int]int { return maps.Clone(tl.codes) }

// QuantileMS returns a percentile, from 0 to 100, of the latency of answered requests in milliseconds.
func (tl *Tally) QuantileMS(percentile float64) int64 {
	return tl.latencies.ValueAtQuantile(percentile)
}

// Record counts one request with its outcome, code and latency.
func (tl *Tally) Record(outcome string, cd int, latencyMS int64) {
	tl.sent++
	tl.outcomes[outcome]++
	tl.codes[cd]++
	if outcome == outcomeAnswered {
		_ = tl.latencies.RecordValue(max(latencyMS, lowestMS))
	}
}
