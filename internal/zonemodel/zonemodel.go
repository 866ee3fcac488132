package zonemodel

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/slot"
)

// Model is one run of one way of sharing slots; make it with New and call Run once.
type Model struct {
	eq          eventQueue
	ck          *clock.Clock
	rnd         *rand.Rand
	strategy    string
	load        float64
	endMS       float64
	entries     []*node
	endpoints   []*minion
	wait        *hdrhistogram.Histogram
	offered     int
	inTime      int
	expired     int
	refused     int
	attempts    int
	runMSByTeam map[int]float64
}

type node struct {
	name           string
	queues         [][]*call
	runMSByTeam    []float64
	shares         *slot.Shares
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

type minion struct {
	busy     int
	slowdown float64
	fails    bool
}

type call struct {
	team       int
	arrivedMS  float64
	deadlineMS float64
	tries      int
	forwarded  bool
}

// Ways that New takes.
const (
	Uncoordinated      = "alone"
	Partitioned        = "parts"
	PartitionedProbing = "parts-probe"
	HomeEntry          = "home"
)

const (
	entryCount         = 3
	endpointCount      = 4
	slotsPerEndpoint   = 8
	meanRunMS          = 20
	forwardMS          = 1
	sendMS             = 0.3
	demandIntervalMS   = 100
	refusalPauseMS     = 5
	callTimeoutMS      = 2000
	startMarginMS      = 100
	maxProbePauseMS    = 20
	ejectAfterFailures = 3
	ejectMS            = 1000
	maxEjectMS         = 10_000
	failMS             = 1
	penaltyMS          = 1000
	slowFactor         = 10
	usPerMS            = 1000
	maxWaitUS          = 10_000_000
	significantDigits  = 3
	maxTries           = 4
)

var teamShares = []float64{4, 2, 1, 1}

// New returns a model of a zone under the given way, at a load that is a multiple of its capacity, with one endpoint at a tenth of its speed or one that fails everything at once if asked for.
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
		md.entries = append(md.entries, &node{
			name: name, queues: make([][]*call, len(teamShares)), runMSByTeam: make([]float64, len(teamShares)),
			shares: slot.New(md.ck, name), inFlight: make([]int, endpointCount), lastFailureMS: make([]float64, endpointCount), fullUntilMS: make([]float64, endpointCount),
			ejectedUntilMS: make([]float64, endpointCount), failuresInRow: make([]int, endpointCount),
		})
	}
	return md
}

// Run lets the model run for so many milliseconds of its own time.
func (md *Model) Run(durationMS float64) {
	md.endMS = durationMS
	for team := range teamShares {
		md.scheduleArrival(team, durationMS)
	}
	md.exchangeDemands()
	md.eq.run(durationMS + callTimeoutMS)
}

// Goodput returns answered requests as a fraction of the zone's capacity over the duration.
func (md *Model) Goodput(durationMS float64) float64 {
	return float64(md.inTime) / (md.capacity() * durationMS)
}

// WaitMS returns a quantile, from 0 to 100, of the time from arrival to start at an endpoint.
func (md *Model) WaitMS(quantile float64) float64 {
	return float64(md.wait.ValueAtQuantile(quantile)) / usPerMS
}

// RefusedFraction returns the fraction of attempts that an endpoint refused because its slots were full.
func (md *Model) RefusedFraction() float64 { return float64(md.refused) / float64(max(md.attempts, 1)) }

// ShareError returns the largest relative deviation of a team's part of the work done from its share.
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

// capacity returns requests a millisecond that healthy endpoints serve.
func (md *Model) capacity() float64 {
	sum := 0.0
	for _, mn := range md.endpoints {
		if !mn.fails {
			sum += slotsPerEndpoint / (meanRunMS * mn.slowdown)
		}
	}
	return sum
}

// arrive offers each team the same rate, so that shares decide when the zone is full.
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

func (md *Model) route(cl *call) {
	nd := md.entries[md.rnd.IntN(entryCount)]
	if md.strategy == HomeEntry && nd != md.entries[0] {
		cl.forwarded = true
		md.eq.after(forwardMS, func() { md.enqueue(md.entries[0], cl) })
		return
	}
	md.enqueue(nd, cl)
}

func (md *Model) enqueue(nd *node, cl *call) {
	nd.queues[cl.team] = append(nd.queues[cl.team], cl)
	nd.queued++
	md.dispatch(nd)
}

// beat exchanges the entries' demands.
func (md *Model) exchangeDemands() {
	md.ck.Advance(int64(md.eq.nowMS) - md.ck.Now())
	for _, nd := range md.entries {
		nd.shares.SetOwn("service", float64(nd.queued+sum(nd.inFlight)))
	}
	for _, nd := range md.entries {
		for _, other := range md.entries {
			nd.shares.SetPeer(other.name, other.shares.Own())
		}
		md.dispatch(nd)
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
