package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/scheduling/size"

// Plan decides which tasks to start now and returns everything to be stored; mayStart is false while no start may be ordered.
func (ct *Controller) Plan(mayStart bool) *Batch {
	nowMS := ct.ck.Now()
	ct.expireVMs(nowMS)
	ct.openDueOccurrences(nowMS)
	ct.observeShares(nowMS)
	ct.countAside(nowMS)
	bt := &Batch{acknowledged: map[*vmState]endMark{}}
	if mayStart && ct.rules != nil && !ct.batchFull() {
		ct.place(bt, nowMS)
	}
	ct.fillBatch(bt, nowMS)
	ct.releaseStarts(bt, nowMS)
	ct.acknowledge(bt, nowMS)
	return bt
}

// expireVMs ends the runs on VMs whose leases have certainly expired, and removes VMs that are no longer registered, have no runs and can't execute a call with a deadline any more.
func (ct *Controller) expireVMs(nowMS int64) {
	for _, vm := range ct.vms {
		ct.dropLateStarts(vm, nowMS)
		if nowMS <= vm.leaseUntilMS {
			continue
		}
		if len(vm.runs) > 0 && nowMS-vm.answeredMS > ct.maxLeaseMS() {
			vm.synced = false
			ct.expireRuns(vm, proofLeaseExpired)
		}
		if !vm.registered && len(vm.runs) == 0 && len(vm.lateStarts) == 0 && !vm.polling && nowMS >= vm.grantedMS+inDoubtMS {
			ct.forgetVM(vm)
		}
	}
}

// withinCap reports whether a team's runs may use that much more within its cap.
func (ct *Controller) withinCap(team string, need size.Size) bool {
	limit, ok := ct.caps[team]
	return !ok || ct.used[team].Plus(need).WithinLimit(limit)
}

// mayUse reports whether a start of a team that takes that much may be planned. The late starts of one VM, which may restart at any moment, count beside the team's runs, but a team that uses less than half of its cap doesn't wait for them.
func (ct *Controller) mayUse(team string, need size.Size) bool {
	if !ct.withinCap(team, need) {
		return false
	}
	limit, used := ct.caps[team], ct.used[team]
	if used.BelowHalf(limit) {
		return true
	}
	for vm := range ct.lateVMs {
		if !used.Plus(need).Plus(vm.lateUseOf(team)).WithinLimit(limit) {
			return false
		}
	}
	return true
}
