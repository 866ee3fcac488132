package try

import (
	"context"
	"fmt"
	"io"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/report"
	"github.com/fulmarloft/fulmarloft/internal/testbed/load"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Trial runs a fleet under load and events; Run must be called only once.
type Trial struct {
	ck          *clock.Clock
	fl          *local.Fleet
	progress    io.Writer
	loadMS      int64
	user        string
	facts       []fact
	waveStartMS int64
	moveStartMS int64
	jobsStartMS int64
	violations  []string
}

type fact struct {
	name, value string
}

const (
	loadSeed        = 1
	pollMS          = 10
	startTimeoutMS  = 10_000
	bodyBytes       = 256
	peakUtilization = 0.5
	peakMS          = 1000
	peakFactor      = 5
	offPeakFactor   = 0.05
	openTeam        = "open"
	defaultLoadMS   = 14_000
)

// New returns a trial with a fleet of the named user's size that writes progress lines to the given writer.
func New(ck *clock.Clock, progress, logs io.Writer, user string) (*Trial, error) {
	fl, err := local.New(ck, logs, user)
	if err != nil {
		return nil, err
	}
	return &Trial{ck: ck, fl: fl, progress: progress, loadMS: defaultLoadMS, user: user}, nil
}

// Run starts the fleet, runs the events of the trial under load and returns the report.
func (tr *Trial) Run(ctx context.Context) (*report.Report, error) {
	defer tr.fl.Stop()
	tr.progressf("starting platform, endpoints, workers and entries")
	if err := tr.fl.Start(ctx); err != nil {
		return nil, err
	}
	if err := tr.waitUntil(ctx, startTimeoutMS, tr.fl.Ready); err != nil {
		return nil, err
	}
	if err := tr.waitForState(ctx, "/v1/vms", movedVM, stateServing, local.SparePool); err != nil {
		return nil, err
	}
	gn := load.New(tr.ck, loadSeed, tr.fl.Targets)
	defer gn.Close()
	tr.addLoad(gn)
	events := make(chan error, 1)
	go func() { events <- tr.runEvents(ctx) }()
	tr.progressf("sending load for %d ms", tr.loadMS)
	loading, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		tr.sampleSlotUse(loading)
	}()
	results := gn.Run(ctx, tr.loadMS)
	err := <-events
	stop()
	<-sampled
	if err != nil {
		return nil, err
	}
	return tr.buildReport(results), nil
}

func (tr *Trial) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(tr.progress, format+"\n", args...)
}

// addLoad adds load with a demand peak at peakFactor times the mean for one service after the other, from all teams in proportion to their shares. A peak uses peakUtilization of the capacity of the service's pool.
func (tr *Trial) addLoad(gn *load.Generator) {
	services := tr.fl.Services()
	for i, svc := range services {
		mean := tr.fl.Capacity(svc) * peakUtilization / peakFactor
		if tr.fl.Open(svc) {
			gn.AddPeaking(openTeam, "", svc, mean, bodyBytes, peakMS, int64(i), int64(len(services)), peakFactor, offPeakFactor)
			continue
		}
		for _, team := range tr.fl.Teams() {
			part := mean * tr.fl.ShareFraction(team)
			gn.AddPeaking(team, tr.fl.Secret(team), svc, part, bodyBytes, peakMS, int64(i), int64(len(services)), peakFactor, offPeakFactor)
		}
	}
}

// waitUntil waits for a condition and returns an error after the timeout.
func (tr *Trial) waitUntil(ctx context.Context, timeoutMS int64, cond func() bool) error {
	end := tr.ck.Now() + timeoutMS
	for !cond() {
		if tr.ck.Now() >= end {
			return code.Internal.New("condition not met within %d ms", timeoutMS)
		}
		if err := tr.ck.Sleep(ctx, pollMS); err != nil {
			return err
		}
	}
	return nil
}
