package try

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/testbed/load"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	withdrawOperation = "trial-withdraw"
	usageSampleMS     = 50
	percent           = 100
)

// withdrawKey withdraws the last team's key and checks that no entry takes it once the new version is reported as accepted.
func (tr *Trial) withdrawKey(ctx context.Context) error {
	teams := tr.fl.Teams()
	team := teams[len(teams)-1]
	tr.progressf("withdrawing the key of %s", team)
	start := tr.ck.Now()
	en := tr.fl.Entries()[0]
	version, cd, err := tr.fl.WithdrawKey(ctx, en, withdrawOperation, team)
	if err != nil {
		return code.Internal.New("cannot withdraw the key of team %s: %w", team, err)
	}
	if cd != code.OK && cd != code.NotYetInForce {
		return code.Internal.New("cannot withdraw the key of team %s: %w", team, cd)
	}
	err = tr.waitUntil(ctx, eventTimeoutMS, func() bool {
		got, err := tr.fl.Accepted(ctx, en)
		return err == nil && got >= version
	})
	if err != nil {
		return err
	}
	tr.addFact("roll-out", "key of %s withdrawn everywhere after %d ms", team, tr.ck.Now()-start)
	return tr.checkWithdrawnKey(ctx, team)
}

// checkWithdrawnKey sends requests with the withdrawn key to each entry and records a violation if one is run.
func (tr *Trial) checkWithdrawnKey(ctx context.Context, team string) error {
	for _, target := range tr.fl.Targets() {
		gn := load.New(tr.ck, loadSeed, func() []string { return []string{target} })
		gn.Add(team, tr.fl.Secret(team), tr.fl.Services()[0], percent, bodyBytes)
		for _, rs := range gn.Run(ctx, usageSampleMS*2) {
			if rs.NotRun() != rs.Sent() {
				tr.violations = append(tr.violations, "the withdrawn key of "+team+" was accepted at "+target)
			}
		}
		gn.Close()
	}
	return nil
}

// sampleSlotUse samples the slots in use until the context ends and records the mean fraction of idle slots.
func (tr *Trial) sampleSlotUse(ctx context.Context) {
	busy, samples := 0, 0
	for tr.ck.Sleep(ctx, usageSampleMS) == nil {
		busy += tr.fl.BusySlots()
		samples++
	}
	if samples > 0 {
		idle := 1 - float64(busy)/float64(samples*tr.fl.TotalSlots())
		tr.addFact("buffer", "%.0f%% of %d slots idle on average", idle*percent, tr.fl.TotalSlots())
	}
}
