package jobcontrol_test

import (
	"fmt"
	"testing"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// BenchmarkAddWaits measures an estimate with 10,000 jobs that wait, which the owner makes every 300 ms.
func BenchmarkAddWaits(b *testing.B) {
	ck := clock.NewFake(1_000_000)
	ct := jobcontrol.New(ck, event.Discard(), 1, 4000)
	ct.SetRules(rulesindex.New(weightedRules(0)))
	for at := range 350 {
		ct.SetVM(vmOf(fmt.Sprintf("v%d", at)))
	}
	for at := range 10000 {
		jb := jobOf(fmt.Sprintf("j%d", at), stepOf(4), stepOf(4, 0))
		jb.Queue, jb.AcceptedMs = "q", ck.Now()
		ct.Submit(jb)
	}
	es := waitestimate.New(0)
	for b.Loop() {
		es.Begin(ck.Now())
		ct.AddWaits(es)
		es.Row(ck.Now())
	}
}
