package try

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fulmarloft/fulmarloft/internal/observability/report"
	"github.com/fulmarloft/fulmarloft/internal/testbed/loadstats"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
)

const (
	warmUpMS       = 1000
	eventTimeoutMS = 15_000
	drainedEntry   = "entry-2"
	killedEntry    = "entry-3"
	stateServing   = "serving"
	movedVM        = local.SparePool + "-1"
	waveName       = "trial"
	waveZone       = "zone-a"
)

// runEvents replaces and kills entries, moves a VM, runs a wave and jobs and withdraws a key while the load is sent.
func (tr *Trial) runEvents(ctx context.Context) error {
	if err := tr.ck.Sleep(ctx, warmUpMS); err != nil {
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
	tr.progressf("draining and replacing %s", drainedEntry)
	if err := tr.fl.ReplaceEntry(ctx, drainedEntry); err != nil {
		return err
	}
	tr.progressf("killing and replacing %s", killedEntry)
	return tr.fl.KillAndReplaceEntry(killedEntry)
}

// startMove moves a VM of the spare pool to the first service's pool.
func (tr *Trial) startMove(ctx context.Context) error {
	tr.progressf("moving %s to %s", movedVM, tr.targetPool())
	tr.moveStartMS = tr.ck.Now()
	_, err := tr.fl.CallOperatorAPI(ctx, http.MethodPost, "/v1/vms/"+movedVM+"/move", `{"target":"`+tr.targetPool()+`"}`)
	return err
}

func (tr *Trial) finishMove(ctx context.Context) error {
	if err := tr.waitForState(ctx, "/v1/vms", movedVM, stateServing, tr.targetPool()); err != nil {
		return err
	}
	tr.addFact("VM moves", "1, serving in its new pool after %d ms", tr.ck.Now()-tr.moveStartMS)
	return nil
}

func (tr *Trial) targetPool() string { return tr.fl.Services()[0] + "-pool" }

func (tr *Trial) startWave(ctx context.Context) error {
	body := fmt.Sprintf(`{"name":%q,"pools":[%q],"zones":[%q]}`, waveName, tr.fl.Services()[1]+"-pool", waveZone)
	tr.progressf("starting a wave over %s", waveZone)
	tr.waveStartMS = tr.ck.Now()
	_, err := tr.fl.CallOperatorAPI(ctx, http.MethodPost, "/v1/waves", body)
	return err
}

// finishWave waits until the first VM of the wave has been rebooted.
func (tr *Trial) finishWave(ctx context.Context) error {
	if err := tr.waitUntil(ctx, eventTimeoutMS, func() bool { return tr.fl.Reboots() > 0 }); err != nil {
		return err
	}
	tr.addFact("wave", "first VM rebooted after %d ms", tr.ck.Now()-tr.waveStartMS)
	return nil
}

// waitForState waits until the operator API lists a VM or wave in a state and, if given, in a pool.
func (tr *Trial) waitForState(ctx context.Context, path, name, state, pool string) error {
	return tr.waitUntil(ctx, eventTimeoutMS, func() bool {
		gotState, gotPool, err := tr.fl.ListedState(ctx, path, name)
		return err == nil && gotState == state && (pool == "" || gotPool == pool)
	})
}

// addFact adds a measured figure to the report.
func (tr *Trial) addFact(name, format string, args ...any) {
	tr.facts = append(tr.facts, fact{name, fmt.Sprintf(format, args...)})
}

// buildReport returns the report of the load, the measured figures and the violated guarantees.
func (tr *Trial) buildReport(results []*loadstats.Tally) *report.Report {
	rp := report.New(tr.user, results)
	for _, fc := range tr.facts {
		rp.AddFact(fc.name, fc.value)
	}
	for _, text := range append(tr.violations, tr.fl.Violations()...) {
		rp.AddViolation("%s", text)
	}
	return rp
}
