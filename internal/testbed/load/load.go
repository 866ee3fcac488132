package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/loadstats"
)

// Generator sends requests at arrival times drawn from a seed, whether or not earlier requests were answered.
type Generator struct {
	ck        *clock.Clock
	hc        *http.Client
	seed      uint64
	targets   func() []string
	streams   []*stream
	results   map[string]*loadstats.Tally
	mu        sync.Mutex
	nextIndex int
	lastErr   error
}

// stream is a sequence of requests of a team to a service, with exponentially distributed gaps. If phases is not 0, the rate depends on the phase as described at AddPeaking.
type stream struct {
	team, secret, service      string
	rate                       float64
	peakFactor                 float64
	offPeakFactor              float64
	phaseMS, peakPhase, phases int64
	body                       []byte
	tally                      *loadstats.Tally
}

type arrival struct {
	atMS int64
	st   *stream
}

const (
	msPerSecond = 1000
	// streamSeedBase is added to the index of each stream to seed its random numbers.
	streamSeedBase = 0x66756c6d
	connsPerTarget = 512

	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	// outcomeBroken is an answer that claims to be complete but is not.
	outcomeBroken = "broken"
)

// New returns a generator that distributes its requests round-robin over the current targets, as the platform's load balancer does.
func New(ck *clock.Clock, seed uint64, targets func() []string) *Generator {
	tr := &http.Transport{MaxIdleConnsPerHost: connsPerTarget}
	return &Generator{ck: ck, hc: &http.Client{Transport: tr}, seed: seed, targets: targets, results: map[string]*loadstats.Tally{}}
}

// Add adds a stream with a constant rate; the secret is empty for open queues.
func (gn *Generator) Add(team, secret, service string, perSecond float64, bodyBytes int) {
	gn.add(&stream{team: team, secret: secret, service: service, rate: perSecond, peakFactor: 1, offPeakFactor: 1, body: make([]byte, bodyBytes)})
}

// AddPeaking adds a stream whose rate changes between phases of phaseMS. In each cycle of the given number of phases, the rate is peakFactor times perSecond in the phase with index peakPhase and offPeakFactor times perSecond in the others.
func (gn *Generator) AddPeaking(team, secret, service string, perSecond float64, bodyBytes int, phaseMS, peakPhase, phases int64, peakFactor, offPeakFactor float64) {
	gn.add(&stream{
		team: team, secret: secret, service: service, rate: perSecond, peakFactor: peakFactor, offPeakFactor: offPeakFactor,
		phaseMS: phaseMS, peakPhase: peakPhase, phases: phases, body: make([]byte, bodyBytes),
	})
}

// Run sends requests for the given milliseconds or until the context ends, waits for the last answers and returns one tally per team, sorted by team.
func (gn *Generator) Run(ctx context.Context, durationMS int64) []*loadstats.Tally {
	startMS := gn.ck.Now()
	var wg sync.WaitGroup
	for _, ar := range gn.schedule(durationMS) {
		if gn.ck.Sleep(ctx, startMS+ar.atMS-gn.ck.Now()) != nil {
			break
		}
		wg.Go(func() { gn.send(context.WithoutCancel(ctx), ar.st, startMS+ar.atMS) })
	}
	wg.Wait()
	return gn.sortedResults()
}

// LastError returns the error of the last request that ended without a complete answer, nil if there is none.
func (gn *Generator) LastError() error {
	gn.mu.Lock()
	defer gn.mu.Unlock()
	return gn.lastErr
}

// Unanswered returns the tallies of the streams, each named by team and service, that sent requests of which none was answered.
func (gn *Generator) Unanswered() []*loadstats.Tally {
	gn.mu.Lock()
	defer gn.mu.Unlock()
	var list []*loadstats.Tally
	for _, st := range gn.streams {
		if st.tally.Sent() > 0 && st.tally.Answered() == 0 {
			list = append(list, st.tally)
		}
	}
	return list
}

// Close closes idle connections.
func (gn *Generator) Close() { gn.hc.CloseIdleConnections() }

func (gn *Generator) add(st *stream) {
	st.tally = loadstats.New(st.team + " to " + st.service)
	gn.streams = append(gn.streams, st)
	if gn.results[st.team] == nil {
		gn.results[st.team] = loadstats.New(st.team)
	}
}

// schedule draws the arrivals of all streams and returns them in order of time.
func (gn *Generator) schedule(durationMS int64) []arrival {
	var list []arrival
	for i, st := range gn.streams {
		rnd := rand.New(rand.NewPCG(gn.seed, streamSeedBase+uint64(i)))
		atMS := 0.0
		for {
			atMS += rnd.ExpFloat64() * msPerSecond / st.rateAt(int64(atMS))
			if atMS >= float64(durationMS) {
				break
			}
			list = append(list, arrival{int64(atMS), st})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].atMS < list[j].atMS })
	return list
}

func (st *stream) rateAt(ms int64) float64 {
	if st.phases == 0 {
		return st.rate
	}
	if ms/st.phaseMS%st.phases == st.peakPhase {
		return st.rate * st.peakFactor
	}
	return st.rate * st.offPeakFactor
}

func (gn *Generator) nextTarget() string {
	list := gn.targets()
	gn.mu.Lock()
	defer gn.mu.Unlock()
	gn.nextIndex++
	return list[gn.nextIndex%len(list)]
}

// send makes one request and records its result. Latency counts from the intended time, so that a delay of the generator is included.
func (gn *Generator) send(ctx context.Context, st *stream, intendedMS int64) {
	outcome, cd := gn.exchange(ctx, st)
	gn.mu.Lock()
	defer gn.mu.Unlock()
	tookMS := gn.ck.Now() - intendedMS
	gn.results[st.team].Record(outcome, cd, tookMS)
	st.tally.Record(outcome, cd, tookMS)
}

// exchange sends one request and returns outcome and code from the answer's headers, or the outcome that is certain if no complete answer was received.
func (gn *Generator) exchange(ctx context.Context, st *stream) (string, int) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gn.nextTarget()+"/call/"+st.service, bytes.NewReader(st.body))
	if err != nil {
		return outcomeUnknown, loadstats.NoCode
	}
	if st.secret != "" {
		rq.Header.Set("fulmarloft-key", st.secret)
	}
	res, err := gn.hc.Do(rq)
	if err != nil {
		gn.mu.Lock()
		gn.lastErr = err
		gn.mu.Unlock()
		return outcomeOfError(err), loadstats.NoCode
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	cd, _ := strconv.Atoi(res.Header.Get("fulmarloft-code"))
	outcome := res.Header.Get("fulmarloft-outcome")
	if err != nil || (outcome == outcomeAnswered && cd == 0 && len(raw) != len(st.body)) {
		return outcomeBroken, cd
	}
	return outcome, cd
}

// outcomeOfError returns not-run if no connection was established, else unknown.
func outcomeOfError(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotRun
	}
	return outcomeUnknown
}

func (gn *Generator) sortedResults() []*loadstats.Tally {
	var list []*loadstats.Tally
	for _, rs := range gn.results {
		list = append(list, rs)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team() < list[j].Team() })
	return list
}
