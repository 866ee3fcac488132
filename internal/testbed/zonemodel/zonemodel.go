package zonemodel

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/slot"
)

// Model simulates one strategy of sharing slots. Create it with New and call Run once.
type Model struct {
	eq          eventQueue
	ck          *clock.Clock
	rnd         *rand.Rand
	strategy    string
	load        float64
	endMS       float64
	entries     []*entry
	endpoints   []*minion
	wait        *hdrhistogram.Histogram
	offered     int
	inTime      int
	expired     int
	refused     int
	attempts    int
	runMSByTeam map[int]float64
}

// entry is a simulated entry. Its queues and run times are indexed by team, its other slices by endpoint.
type entry struct {
	name           string
	queues         [][]*call
	runMSByTeam    []float64
	allocator      *slot.Allocator
	inFlight       []int
	lastFailureMS  []float64
	fullUntilMS    []float64
	ejectedUntilMS []float64
	failuresInRow  []int
	probePauseMS   float64
	queued         int

	probing     bool
	nextProbeMS float64
}

// minion is a simulated endpoint; its run times are multiplied by slowdown.
type minion struct {
	busy     int
	slowdown float64
	fails    bool
}

// call is a request; tries counts the endpoints that it was sent to and that did not refuse it.
type call struct {
	team       int
	arrivedMS  float64
	deadlineMS float64
	tries      int
	forwarded  bool
}

// Strategies of sharing slots that New accepts.
const (
	// Uncoordinated lets each entry use all slots of all endpoints; an endpoint refuses calls beyond its slots.
	Uncoordinated = "alone"
	// Partitioned limits each entry to its slot allocation, computed from the exchanged demands.
	Partitioned = "parts"
	// PartitionedProbing is Partitioned, except that an entry that has used up its allocation may try one call at a time beyond it.
	PartitionedProbing = "parts-probe"
	// HomeEntry forwards all calls to one entry, which alone uses the slots.
	HomeEntry = "home"
)

const (
	entryCount       = 3
	endpointCount    = 4
	slotsPerEndpoint = 8
	meanRunMS        = 20
	// forwardMS is the time to forward a call to another entry, sendMS the time to send it to an endpoint.
	forwardMS        = 1
	sendMS           = 0.3
	demandIntervalMS = 100
	// refusalPauseMS is how long an entry avoids an endpoint that refused a call.
	refusalPauseMS = 5
	callTimeoutMS  = 2000
	// startMarginMS is how long before its deadline a queued call expires.
	startMarginMS      = 100
	maxProbePauseMS    = 20
	ejectAfterFailures = 3
	ejectMS            = 1000
	maxEjectMS         = 10_000
	// failMS is the time after which a failing endpoint answers with an error.
	failMS = 1
	// penaltyMS is the time over which the cost of a failure decreases to 0.
	penaltyMS         = 1000
	slowFactor        = 10
	usPerMS           = 1000
	maxWaitUS         = 10_000_000
	significantDigits = 3
	maxTries          = 4
)

var teamShares = []float64{4, 2, 1, 1}

// New returns a model of a zone under the given strategy and a load given as a multiple of its capacity. With slow, one endpoint runs calls at a tenth of its speed; with failing, another one fails all calls right away.
func New(strategy string, load float64, slow, failing bool, seed uint64) *Model {
	md := &Model{
		ck: clock.NewFake(0), rnd: rand.New(rand.NewPCG(seed, seed)), strategy: strategy, load: load,
		wait: hdrhistogram.New(1, maxWaitUS, significantDigits), runMSByTeam: map[int]float64{},
	}
	for i := range endpointCount {
		mn := &minion{slowdown: 1}
		if slow && i == 0 {
			mn.slowdown = slowFactor
		}
		mn.fails = failing && i == endpointCount-1
		md.endpoints = append(md.endpoints, mn)
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i)
		md.entries = append(md.entries, &entry{
			name: name, queues: make([][]*call, len(teamShares)), runMSByTeam: make([]float64, len(teamShares)),
			allocator: slot.New(md.ck, name), inFlight: make([]int, endpointCount), lastFailureMS: make([]float64, endpointCount), fullUntilMS: make([]float64, endpointCount),
			ejectedUntilMS: make([]float64, endpointCount), failuresInRow: make([]int, endpointCount),
		})
	}
	return md
}

// Run simulates calls that arrive for durationMS, and callTimeoutMS beyond it for the last of them to end.
func (md *Model) Run(durationMS float64) {
	md.endMS = durationMS
	for team := range teamShares {
		md.scheduleArrival(team, durationMS)
	}
	md.exchangeDemands()
	md.eq.run(durationMS + callTimeoutMS)
}

// Goodput returns the requests answered before their deadline and the end, as a fraction of the zone's capacity over the duration.
func (md *Model) Goodput(durationMS float64) float64 {
	return float64(md.inTime) / (md.capacity() * durationMS)
}

// WaitMS returns a percentile, from 0 to 100, of the time from arrival to start at an endpoint.
func (md *Model) WaitMS(percentile float64) float64 {
	return float64(md.wait.ValueAtQuantile(percentile)) / usPerMS
}

// RefusedFraction returns the fraction of attempts that an endpoint refused because its slots were full.
func (md *Model) RefusedFraction() float64 { return float64(md.refused) / float64(max(md.attempts, 1)) }

// ShareError returns the largest relative deviation of a team's fraction of the run time from its configured share.
func (md *Model) ShareError() float64 {
	sumShares, totalRunMS, maxError := 0.0, 0.0, 0.0
	for team, share := range teamShares {
		sumShares += share
		totalRunMS += md.runMSByTeam[team]
	}
	for team, share := range teamShares {
		want := share / sumShares
		maxError = max(maxError, abs(md.runMSByTeam[team]/totalRunMS-want)/want)
	}
	return maxError
}

// capacity returns the requests per millisecond that the endpoints which do not fail can serve.
func (md *Model) capacity() float64 {
	sum := 0.0
	for _, mn := range md.endpoints {
		if !mn.fails {
			sum += slotsPerEndpoint / (meanRunMS * mn.slowdown)
		}
	}
	return sum
}

// scheduleArrival schedules the next call of a team and, after it, the one that follows. All teams arrive at the same rate, so that under overload their shares decide.
func (md *Model) scheduleArrival(team int, untilMS float64) {
	rate := md.load * md.capacity() / float64(len(teamShares))
	md.eq.after(md.rnd.ExpFloat64()/rate, func() {
		if md.eq.nowMS >= untilMS {
			return
		}
		md.offered++
		cl := &call{team: team, arrivedMS: md.eq.nowMS, deadlineMS: md.eq.nowMS + callTimeoutMS}
		md.route(cl)
		md.scheduleArrival(team, untilMS)
	})
}

// route passes an arrived call to a random entry, or to the home entry under HomeEntry.
func (md *Model) route(cl *call) {
	en := md.entries[md.rnd.IntN(entryCount)]
	if md.strategy == HomeEntry && en != md.entries[0] {
		cl.forwarded = true
		md.eq.after(forwardMS, func() { md.enqueue(md.entries[0], cl) })
		return
	}
	md.enqueue(en, cl)
}

func (md *Model) enqueue(en *entry, cl *call) {
	en.queues[cl.team] = append(en.queues[cl.team], cl)
	en.queued++
	md.dispatch(en)
}

// exchangeDemands sends each entry's demand to the others, every demandIntervalMS.
func (md *Model) exchangeDemands() {
	md.ck.Advance(int64(md.eq.nowMS) - md.ck.Now())
	for _, en := range md.entries {
		en.allocator.SetOwn("service", float64(en.queued+sum(en.inFlight)))
	}
	for _, en := range md.entries {
		for _, other := range md.entries {
			en.allocator.SetPeer(other.name, other.allocator.Own())
		}
		md.dispatch(en)
	}
	md.eq.after(demandIntervalMS, md.exchangeDemands)
}

func sum(list []int) int {
	total := 0
	for _, count := range list {
		total += count
	}
	return total
}

func abs(val float64) float64 { return max(val, -val) }
