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
	ag        agenda
	ck        *clock.Clock
	rnd       *rand.Rand
	way       string
	load      float64
	until     float64
	entries   []*node
	endpoints []*minion
	wait      *hdrhistogram.Histogram
	offered   int
	good      int
	expired   int
	refused   int
	attempts  int
	served    map[int]float64
}

type node struct {
	name    string
	queues  [][]*call
	served  []float64
	shares  *slot.Shares
	out     []int
	failed  []float64
	full    []float64
	ejected []float64
	strikes []int
	pause   float64
	queued  int

	probing   bool
	nextProbe float64
}

type minion struct {
	busy  int
	slow  float64
	fails bool
}

type call struct {
	team     int
	arrived  float64
	deadline float64
	tries    int
	home     bool
}

// Ways that New takes.
const (
	Uncoordinated      = "alone"
	Partitioned        = "parts"
	PartitionedProbing = "parts-probe"
	HomeEntry          = "home"
)

const (
	entryCount    = 3
	endpointCount = 4
	slots         = 8
	meanRunMS     = 20
	hopMS         = 1
	exchangeMS    = 0.3
	beatMS        = 100
	pollMS        = 5
	deadlineMS    = 2000
	startMarginMS = 100
	mostPauseMS   = 20
	ejectStrikes  = 3
	ejectMS       = 1000
	mostEjectMS   = 10_000
	failMS        = 1
	penaltyMS     = 1000
	slowFactor    = 10
	usPerMS       = 1000
	highestUS     = 10_000_000
	digits        = 3
	mostTries     = 4
)

var teamShares = []float64{4, 2, 1, 1}

// New returns a model of a zone under the given way, at a load that is a multiple of its capacity, with one endpoint at a tenth of its speed or one that fails everything at once if asked for.
func New(way string, load float64, slow, failing bool, seed uint64) *Model {
	md := &Model{
		ck: clock.NewFake(0), rnd: rand.New(rand.NewPCG(seed, seed)), way: way, load: load,
		wait: hdrhistogram.New(1, highestUS, digits), served: map[int]float64{},
	}
	for i := range endpointCount {
		mn := &minion{slow: 1}
		if slow && i == 0 {
			mn.slow = slowFactor
		}
		mn.fails = failing && i == endpointCount-1
		md.endpoints = append(md.endpoints, mn)
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i)
		md.entries = append(md.entries, &node{
			name: name, queues: make([][]*call, len(teamShares)), served: make([]float64, len(teamShares)),
			shares: slot.New(md.ck, name), out: make([]int, endpointCount), failed: make([]float64, endpointCount), full: make([]float64, endpointCount),
			ejected: make([]float64, endpointCount), strikes: make([]int, endpointCount),
		})
	}
	return md
}

// Run lets the model run for so many milliseconds of its own time.
func (md *Model) Run(durationMS float64) {
	md.until = durationMS
	for team := range teamShares {
		md.arrive(team, durationMS)
	}
	md.beat()
	md.ag.run(durationMS + deadlineMS)
}

// Goodput returns answered requests as a fraction of the zone's capacity over the duration.
func (md *Model) Goodput(durationMS float64) float64 {
	return float64(md.good) / (md.capacity() * durationMS)
}

// WaitMS returns a quantile, from 0 to 100, of the time from arrival to start at an endpoint.
func (md *Model) WaitMS(quantile float64) float64 {
	return float64(md.wait.ValueAtQuantile(quantile)) / usPerMS
}

// RefusedFraction returns the fraction of attempts that an endpoint refused because its slots were full.
func (md *Model) RefusedFraction() float64 { return float64(md.refused) / float64(max(md.attempts, 1)) }

// ShareError returns the largest relative deviation of a team's part of the work done from its share.
func (md *Model) ShareError() float64 {
	sum, total, most := 0.0, 0.0, 0.0
	for team, wt := range teamShares {
		sum += wt
		total += md.served[team]
	}
	for team, wt := range teamShares {
		want := wt / sum
		most = max(most, abs(md.served[team]/total-want)/want)
	}
	return most
}

// capacity returns requests a millisecond that healthy endpoints serve.
func (md *Model) capacity() float64 {
	sum := 0.0
	for _, mn := range md.endpoints {
		if !mn.fails {
			sum += slots / (meanRunMS * mn.slow)
		}
	}
	return sum
}

// arrive offers each team the same rate, so that shares decide when the zone is full.
func (md *Model) arrive(team int, until float64) {
	rate := md.load * md.capacity() / float64(len(teamShares))
	md.ag.after(md.rnd.ExpFloat64()/rate, func() {
		if md.ag.now >= until {
			return
		}
		md.offered++
		cl := &call{team: team, arrived: md.ag.now, deadline: md.ag.now + deadlineMS}
		md.place(cl)
		md.arrive(team, until)
	})
}

func (md *Model) place(cl *call) {
	nd := md.entries[md.rnd.IntN(entryCount)]
	if md.way == HomeEntry && nd != md.entries[0] {
		cl.home = true
		md.ag.after(hopMS, func() { md.enqueue(md.entries[0], cl) })
		return
	}
	md.enqueue(nd, cl)
}

func (md *Model) enqueue(nd *node, cl *call) {
	nd.queues[cl.team] = append(nd.queues[cl.team], cl)
	nd.queued++
	md.pump(nd)
}

// beat exchanges the entries' demands.
func (md *Model) beat() {
	md.ck.Advance(int64(md.ag.now) - md.ck.Now())
	for _, nd := range md.entries {
		nd.shares.SetOwn("service", float64(nd.queued+total(nd.out)))
	}
	for _, nd := range md.entries {
		for _, other := range md.entries {
			nd.shares.SetPeer(other.name, other.shares.Own())
		}
		md.pump(nd)
	}
	md.ag.after(beatMS, md.beat)
}

func total(list []int) int {
	sum := 0
	for _, val := range list {
		sum += val
	}
	return sum
}

func abs(val float64) float64 { return max(val, -val) }
