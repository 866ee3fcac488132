package try

import (
	"context"
	"fmt"
	"io"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/load"
	"github.com/fulmarloft/fulmarloft/internal/local"
	"github.com/fulmarloft/fulmarloft/internal/report"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Trial is one run; make it with New and call Run once.
type Trial struct {
	ck       *clock.Clock
	fl       *local.Fleet
	progress io.Writer
	loadMS   int64
	user     string
	facts    []fact
	waveMS   int64
	moveMS   int64
	jobsMS   int64
	broken   []string
}

type fact struct {
	name, value string
}

const (
	seed       = 1
	pollMS     = 10
	startMS    = 10_000
	bodyBytes  = 256
	loadShare  = 0.5
	turnMS     = 1000
	burst      = 5
	low        = 0.05
	openTeam   = "open"
	defaultRun = 14_000
)

// New returns a trial of the named user's size that writes progress lines to the given writer.
func New(ck *clock.Clock, progress, logs io.Writer, user string) (*Trial, error) {
	fl, err := local.New(ck, logs, user)
	if err != nil {
		return nil, err
	}
	return &Trial{ck: ck, fl: fl, progress: progress, loadMS: defaultRun, user: user}, nil
}

// Run starts the fleet, sends load, provokes the events of the trial and returns the report.
func (tr *Trial) Run(ctx context.Context) (*report.Report, error) {
	defer tr.fl.Stop()
	tr.say("starting platform, endpoints, workers and entries")
	if err := tr.fl.Start(ctx); err != nil {
		return nil, err
	}
	if err := tr.until(ctx, startMS, tr.fl.Ready); err != nil {
		return nil, err
	}
	if err := tr.state(ctx, "/v1/vms", movedVM, stateServes, local.SparePool); err != nil {
		return nil, err
	}
	gn := load.New(tr.ck, seed, tr.fl.Targets)
	defer gn.Close()
	tr.addLoad(gn)
	events := make(chan error, 1)
	go func() { events <- tr.provoke(ctx) }()
	tr.say("sending load for %d ms", tr.loadMS)
	loading, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		tr.sampleUse(loading)
	}()
	results := gn.Run(ctx, tr.loadMS)
	err := <-events
	stop()
	<-sampled
	if err != nil {
		return nil, err
	}
	return tr.judge(results), nil
}

func (tr *Trial) say(format string, args ...any) {
	_, _ = fmt.Fprintf(tr.progress, format+"\n", args...)
}

// addLoad gives each service a turn at five times its mean, from all teams in proportion to their shares.
func (tr *Trial) addLoad(gn *load.Generator) {
	services := tr.fl.Services()
	for i, svc := range services {
		mean := tr.fl.Capacity(svc) * loadShare / burst
		if tr.fl.Open(svc) {
			gn.AddPeaking(openTeam, "", svc, mean, bodyBytes, turnMS, int64(i), int64(len(services)), burst, low)
			continue
		}
		for _, team := range tr.fl.Teams() {
			part := mean * tr.fl.SharePart(team)
			gn.AddPeaking(team, tr.fl.Secret(team), svc, part, bodyBytes, turnMS, int64(i), int64(len(services)), burst, low)
		}
	}
}

// until waits for a condition, at most so many milliseconds.
func (tr *Trial) until(ctx context.Context, mostMS int64, cond func() bool) error {
	end := tr.ck.Now() + mostMS
	for !cond() {
		if tr.ck.Now() >= end {
			return code.Internal.New("condition not met within %d ms", mostMS)
		}
		if err := tr.ck.Sleep(ctx, pollMS); err != nil {
			return err
		}
	}
	return nil
}
