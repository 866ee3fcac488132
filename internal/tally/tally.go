package tally

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally is what became of one team's requests; latency counts from the intended arrival, so waiting to send is included.
type Tally struct {
	team     string
	sent     int
	outcomes map[string]int
	codes    map[int]int
	answered *hdrhistogram.Histogram
}

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeBroken   = "broken"

	lowestMS  = 1
	highestMS = 600_000
	digits    = 3
)

// New returns an empty tally of a team.
func New(team string) *Tally {
	return &Tally{
		team: team, outcomes: map[string]int{}, codes: map[int]int{},
		answered: hdrhistogram.New(lowestMS, highestMS, digits),
	}
}

// Team returns the team's name.
func (tl *Tally) Team() string { return tl.team }

// Sent returns how many requests were sent.
func (tl *Tally) Sent() int { return tl.sent }

// Answered returns how many whole answers came.
func (tl *Tally) Answered() int { return tl.outcomes[outcomeAnswered] }

// NotRun returns how many requests were refused as not run.
func (tl *Tally) NotRun() int { return tl.outcomes[outcomeNotRun] }

// Unknown returns how many requests may have run without a whole answer.
func (tl *Tally) Unknown() int { return tl.sent - tl.Answered() - tl.NotRun() }

// Broken returns how many answers claimed to be whole and weren't; a correct entry gives none.
func (tl *Tally) Broken() int { return tl.outcomes[outcomeBroken] }

// Codes returns how often each result code came.
func (tl *Tally) Codes() map[int]int { return maps.Clone(tl.codes) }

// QuantileMS returns a quantile, from 0 to 100, of the latency of answered requests in milliseconds.
func (tl *Tally) QuantileMS(quantile float64) int64 { return tl.answered.ValueAtQuantile(quantile) }

// Record counts one request with its outcome, code and latency.
func (tl *Tally) Record(outcome string, cd int, latencyMS int64) {
	tl.sent++
	tl.outcomes[outcome]++
	tl.codes[cd]++
	if outcome == outcomeAnswered {
		_ = tl.answered.RecordValue(max(latencyMS, lowestMS))
	}
}
