package jobcontrol_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// heapMB returns the memory that the process's objects use.
func heapMB() int64 {
	const bytesPerMB = 1 << 20
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc) / bytesPerMB
}

// Review case 12: 200 accepted jobs of 20,000 tasks that wait had an owner killed for its memory, and each one that took over. An entry of 184 MB must hold them within a quarter of that, beside its starts and after a restore.
func TestTasksThatWaitTakeHardlyAnyMemory(t *testing.T) {
	const jobs, maxMB = 200, 184 / 4
	bl := newBacklog()
	for at := range jobs {
		jb := jobOf(fmt.Sprintf("large-%d", at), &workpb.Step{Count: tasksOfJob, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 1000})
		jb.Queue, jb.AcceptedMs = "q", bl.ck.Now()
		bl.jobs = append(bl.jobs, jb)
	}
	beforeMB := heapMB()
	check := func(name string) {
		usedMB := heapMB() - beforeMB
		qt.Check(t, usedMB <= maxMB, qt.IsTrue, qt.Commentf("%s: %d MB", name, usedMB))
		runtime.KeepAlive(bl)
	}
	es := waitestimate.New(bl.ck.Now())
	es.Begin(bl.ck.Now())
	for _, jb := range bl.jobs {
		bl.ct.Submit(jb)
	}
	check("submitted")
	running, stored := bl.start()
	started := 0
	for _, list := range running {
		started += len(list)
	}
	qt.Check(t, started, qt.Equals, 9*32)
	bl.ct.Demands()
	bl.ct.AddWaits(es)
	check("started")

	rows := map[string][]*workpb.Progress{}
	for _, pg := range stored {
		rows[pg.GetId()] = append(rows[pg.GetId()], pg)
	}
	bl.newOwner()
	beforeMB = heapMB()
	for _, jb := range bl.jobs {
		bl.ct.Restore(jb, rows[jb.GetId()])
	}
	bl.ct.Plan(true)
	bl.ct.Demands()
	bl.ct.AddWaits(es)
	check("restored")
}
