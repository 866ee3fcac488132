package jobcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// restartUnderWay restarts the VM to which the next start is sent while the start is under way; the VM becomes silent some time after.
	restartUnderWay faultKind = "restart-under-way"
	// slowOrders lets calls arrive late, but before they are given up.
	slowOrders faultKind = "slow-orders"
)

const (
	// maxVMAgeMS is how long a VM has run at most before the next one begins or the history does.
	maxVMAgeMS = 40_000
	// Silences of VMs that restart last between minLongSilenceMS and maxLongSilenceMS, longer than the longest lease.
	minLongSilenceMS = 4000
	maxLongSilenceMS = 30_000
	// maxQuickRestartMS is how long a VM is down that restarts while a start is under way, maxSlowOrderMS how long the start takes.
	maxQuickRestartMS = 60
	maxSlowOrderMS    = 250
	// Such a VM becomes silent within soonSilentMS of a start or, one in four, within laterSilentMS of its restart.
	soonSilentMS  = 100
	laterSilentMS = 3000
	// No VM restarts from restartsOverMS on, and none becomes silent laterSilentMS after that.
	restartsOverMS = faultSpanMS + maxFaultMS
	maxRestarts    = 3
	// Runs of planned jobs take up to a time between minLongWorkMS and maxLongWorkMS.
	minLongWorkMS = 5000
	maxLongWorkMS = 20_000
	// restartSource tells the source of what is drawn here from those of the plan.
	restartSource = 0x5e57a7
)

// drawRestartPlan draws a plan with VMs that have run for long, one more than elsewhere, restart while starts are under way and then are silent for longer than any lease lasts; what is drawn beside the plan has a source of its own.
func drawRestartPlan(seed uint64) *historyPlan {
	pl := drawPlan(seed)
	rg := rand.New(rand.NewPCG(seed, seed^restartSource))
	pl.restarts = true
	pl.faults = pl.faults[:min(len(pl.faults), rg.IntN(maxHistoryFaults))]
	spare := drawVM(rg, fmt.Sprintf("v%d", len(pl.vms)), "s")
	spare.Labels, spare.Zone = []string{"a", "b"}, pl.vms[0].GetZone()
	pl.vms = append(pl.vms, spare)
	for range pl.vms {
		pl.agesMS = append(pl.agesMS, rg.Int64N(maxVMAgeMS))
	}
	pl.longWorkMS = minLongWorkMS + rg.Int64N(maxLongWorkMS-minLongWorkMS)
	for _, pj := range pl.jobs {
		for _, st := range pj.row.GetSteps() {
			makeLong(rg, st, pl.longWorkMS)
		}
	}
	for range 1 + rg.IntN(maxRestarts) {
		pl.faults = append(pl.faults, fault{
			kind: restartUnderWay, atMS: rg.Int64N(faultSpanMS), forMS: minLongSilenceMS + rg.Int64N(maxLongSilenceMS-minLongSilenceMS),
			share: 10 + rg.Int64N(90),
		})
	}
	if rg.IntN(2) == 0 {
		pl.faults = append(pl.faults, fault{kind: newOwner, atMS: rg.Int64N(faultSpanMS + maxLongSilenceMS/2), forMS: 20 + rg.Int64N(maxFaultMS)})
	}
	if rg.IntN(2) == 0 {
		pl.faults = append(pl.faults, fault{kind: slowOrders, atMS: rg.Int64N(faultSpanMS), forMS: 20 + rg.Int64N(2*maxFaultMS), share: 10 + rg.Int64N(90)})
	}
	return pl
}

// workBoundMS returns how long a run of a job takes at most; one that is to find a whole VM free isn't long.
func (pl *historyPlan) workBoundMS(id string) int64 {
	planned := slices.ContainsFunc(pl.jobs, func(pj plannedJob) bool { return pj.row.GetId() == id })
	if pl.restarts && planned {
		return pl.longWorkMS
	}
	return pl.maxWorkMS
}

// ageMS returns how long before the history the first VM began.
func (pl *historyPlan) ageMS() int64 {
	sumMS := int64(0)
	for _, ageMS := range pl.agesMS {
		sumMS += ageMS
	}
	return sumMS
}

// makeLong lets most tasks of a step run for longer than any lease lasts, without runs at the same time.
func makeLong(rg *rand.Rand, st *workpb.Step, workMS int64) {
	st.Duplicates = st.GetDuplicates() && rg.IntN(4) == 0
	if rg.IntN(2) == 0 {
		st.EstimateMs = workMS
	}
	if !st.GetGang() && rg.IntN(4) == 0 {
		st.Lasting, st.Duplicates = true, false
	}
}

// restartBeneath restarts a VM to which a start was just sent, if that was planned.
func (hs *history) restartBeneath(ht *host) {
	if ht == nil || ht.cut || len(hs.restarts) == 0 || hs.ck.Now() >= historyStartMS+restartsOverMS {
		return
	}
	ft, id := hs.restarts[0], ht.vm.GetId()
	hs.restarts = hs.restarts[1:]
	hs.stopHost(ht)
	if ft.share%2 == 0 {
		hs.startHost(ht, ft)
	} else {
		hs.after(hs.draw(maxQuickRestartMS, "down", id, ft.atMS), func() { hs.startHost(ht, ft) })
	}
	if hs.draw(4, "silent-later", id, ft.atMS) == 0 {
		hs.after(hs.draw(laterSilentMS, "silent-after", id, ft.atMS), func() { hs.silence(ht, ft.forMS) })
		return
	}
	ht.silentMS = ft.forMS
}

// silenceAfterStart cuts a VM off soon after a start that it has accepted, if that was planned.
func (hs *history) silenceAfterStart(ht *host) {
	if forMS := ht.silentMS; forMS > 0 && hs.ck.Now() < historyStartMS+restartsOverMS+laterSilentMS {
		ht.silentMS = 0
		hs.after(hs.draw(soonSilentMS, "silent-soon", ht.vm.GetId(), hs.ck.Now()), func() { hs.silence(ht, forMS) })
	}
}

// silence cuts a VM off for a time, and counts the runs there that outlive the lease for which the owner asked.
func (hs *history) silence(ht *host, forMS int64) {
	ht.cut = true
	hs.after(forMS, func() { ht.cut = false })
	if !ht.down && !ht.gone && ht.wk.Running() > 0 && ht.wk.LeaseUntilMS()-ht.wk.ClockMS() > historyLeaseMS {
		hs.events["silent-with-longer-lease"]++
	}
}

// arrivalMS returns how long a call takes to its VM.
func (hs *history) arrivalMS(call int64) int64 {
	if hs.hits(slowOrders, call) {
		return hs.draw(maxSlowOrderMS, "arrives-late", call)
	}
	return hs.draw(maxLatencyMS, "arrives", call)
}

// faultsOverMS returns when all faults of a history are over, and all late orders executed.
func (pl *historyPlan) faultsOverMS() int64 {
	if pl.restarts {
		return restartsOverMS + laterSilentMS + soonSilentMS + maxLongSilenceMS + maxLateMS
	}
	return faultSpanMS + maxFaultMS + maxLateMS
}
