package jobcontrol_test

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// maxClearMS is how long after the end of all jobs something may still count on a VM, maxRoomMS how long a job may then wait for a whole VM.
const (
	maxClearMS = 30_000
	maxRoomMS  = 60_000
)

// playOn plays on without faults until done returns true, for at most forMS.
func (hs *history) playOn(forMS int64, done func() bool) {
	for untilMS := hs.ck.Now() + forMS; hs.ck.Now() < untilMS && !done() && len(hs.violations) == 0; {
		hs.step()
	}
}

// checkRoom checks that nothing counts any more once all runs have ended, and that a job that needs a whole VM can start on each.
func (hs *history) checkRoom() {
	for _, id := range sortedKeys(hs.jobs) {
		if hs.lasts(id) || !hs.final(id) {
			return
		}
	}
	hs.playOn(maxClearMS, func() bool { return hs.loadedVM() == "" })
	if id := hs.loadedVM(); id != "" && len(hs.violations) == 0 {
		hs.report("room", "%d runs count on %s long after all have ended", hs.ct.Load(id), id)
	}
	var whole []string
	for _, ht := range hs.hosts {
		label := "only-" + ht.vm.GetId()
		if ht.gone || ht.down || ht.vm.GetService() != hs.service || ht.vm.GetCpuMilli() > hs.pl.capCPU || !contains(ht.vm.GetLabels(), label) {
			continue
		}
		whole = append(whole, "whole-"+ht.vm.GetId())
		hs.submit(&workpb.Job{Id: "whole-" + ht.vm.GetId(), Queue: "q", Team: "t", Steps: []*workpb.Step{
			{Count: 1, CpuMilli: ht.vm.GetCpuMilli(), MemoryMb: ht.vm.GetMemoryMb(), EstimateMs: 100, Label: label},
		}})
	}
	hs.playOn(maxRoomMS, func() bool { return hs.unfinished(whole) == "" })
	if id := hs.unfinished(whole); id != "" && len(hs.violations) == 0 {
		hs.report("room", "%s finds no room", id)
	}
}

// loadedVM returns a VM on which runs count, or "".
func (hs *history) loadedVM() string {
	for _, ht := range hs.hosts {
		if hs.ct == nil || hs.ct.Load(ht.vm.GetId()) > 0 {
			return ht.vm.GetId()
		}
	}
	return ""
}

// unfinished returns a job of the list that hasn't ended, or "".
func (hs *history) unfinished(ids []string) string {
	for _, id := range ids {
		if !hs.final(id) {
			return id
		}
	}
	return ""
}
