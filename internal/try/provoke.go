package try

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fulmarloft/fulmarloft/internal/local"
	"github.com/fulmarloft/fulmarloft/internal/report"
	"github.com/fulmarloft/fulmarloft/internal/tally"
)

const (
	settleMS    = 1000
	eventMS     = 15_000
	drained     = "entry-2"
	lost        = "entry-3"
	stateServes = "serving"
	movedVM     = local.SparePool + "-1"
	waveName    = "trial"
	waveZone    = "zone-a"
)

// provoke replaces and loses entries, moves a VM, runs a wave and jobs and withdraws a key while the load goes on.
func (tr *Trial) provoke(ctx context.Context) error {
	if err := tr.ck.Sleep(ctx, settleMS); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		tr.startMove, tr.startWave, tr.submitJobs, tr.replaceEntries, tr.finishMove, tr.finishWave, tr.finishJobs, tr.withdrawKey,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (tr *Trial) replaceEntries(ctx context.Context) error {
	tr.say("draining and replacing %s", drained)
	if err := tr.fl.ReplaceEntry(ctx, drained); err != nil {
		return err
	}
	tr.say("killing and replacing %s", lost)
	return tr.fl.LoseEntry(lost)
}

// startMove moves a VM of the spare pool to the first service's pool.
func (tr *Trial) startMove(ctx context.Context) error {
	tr.say("moving %s to %s", movedVM, tr.movedTo())
	tr.moveMS = tr.ck.Now()
	_, err := tr.fl.Operate(ctx, http.MethodPost, "/v1/vms/"+movedVM+"/move", `{"target":"`+tr.movedTo()+`"}`)
	return err
}

func (tr *Trial) finishMove(ctx context.Context) error {
	if err := tr.state(ctx, "/v1/vms", movedVM, stateServes, tr.movedTo()); err != nil {
		return err
	}
	tr.fact("VM moves", "1, serving in its new pool after %d ms", tr.ck.Now()-tr.moveMS)
	return nil
}

func (tr *Trial) movedTo() string { return tr.fl.Services()[0] + "-pool" }

func (tr *Trial) startWave(ctx context.Context) error {
	body := fmt.Sprintf(`{"name":%q,"pools":[%q],"zones":[%q]}`, waveName, tr.fl.Services()[1]+"-pool", waveZone)
	tr.say("starting a wave over %s", waveZone)
	tr.waveMS = tr.ck.Now()
	_, err := tr.fl.Operate(ctx, http.MethodPost, "/v1/waves", body)
	return err
}

// finishWave waits until the wave has brought its first VM back through a reboot.
func (tr *Trial) finishWave(ctx context.Context) error {
	if err := tr.until(ctx, eventMS, func() bool { return tr.fl.Reboots() > 0 }); err != nil {
		return err
	}
	tr.fact("wave", "first VM rebooted after %d ms", tr.ck.Now()-tr.waveMS)
	return nil
}

// state waits until the operators' route shows a VM or wave in a state and, if given, in a pool.
func (tr *Trial) state(ctx context.Context, path, name, state, pool string) error {
	return tr.until(ctx, eventMS, func() bool {
		gotState, gotPool, err := tr.fl.State(ctx, path, name)
		return err == nil && gotState == state && (pool == "" || gotPool == pool)
	})
}

func (tr *Trial) fact(name, format string, args ...any) {
	tr.facts = append(tr.facts, fact{name, fmt.Sprintf(format, args...)})
}

// judge checks the promises against what the stand-ins recorded.
func (tr *Trial) judge(results []*tally.Tally) *report.Report {
	rp := report.New(tr.user, results)
	for _, fc := range tr.facts {
		rp.AddFact(fc.name, fc.value)
	}
	for _, text := range append(tr.broken, tr.fl.Broken()...) {
		rp.AddViolation("%s", text)
	}
	return rp
}
