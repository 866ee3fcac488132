package jobrunner_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// setLoses sets which answers of VMs are lost.
func (si *simulation) setLoses(loses func(vm string) bool) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.loses = loses
}

// Calls without an answer must not end the term of an owner whose other calls are answered in time; an owner none of whose calls are must hand over.
func TestOwnerYieldsForUnansweredCallsOnlyIfNoZoneAnswers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// loses reports whether a VM's answer to the call with the given number is lost.
		loses func(vm string, call int) bool
		stuck bool
		owner string
	}{
		{"the VMs of a zone are silent", func(vm string, _ int) bool { return strings.HasPrefix(vm, "a-") }, false, "one"},
		{"all VMs but one are silent", func(vm string, _ int) bool { return vm != "a-0" }, false, "one"},
		{"three of four answers lost", func(_ string, call int) bool { return call%4 > 0 }, false, "one"},
		{"none answered in time", func(string, int) bool { return false }, true, "two"},
	} {
		simulate(t, func(si *simulation) {
			for at := range 6 {
				si.addVMIn("a", fmt.Sprintf("a-%d", at))
				si.addVMIn("b", fmt.Sprintf("b-%d", at))
			}
			si.allowDuplicates = true
			for _, wk := range si.workers {
				wk.Behave = func(string, int64) (int64, workpb.End) { return 60_000, workpb.End_END_DONE }
			}
			si.start("one")
			si.wait(500)
			si.start("two")
			// As much as all VMs can run, since idle machines are powered off.
			for at := range len(si.workers) {
				si.submit(fmt.Sprintf("%014d%02d", 0, at), 4)
			}
			si.wait(4000)
			calls := 0
			si.setLoses(func(vm string) bool {
				calls++
				return tc.loses(vm, calls)
			})
			si.entries["one"].setStuck(tc.stuck)
			for at := 0; at < 90 && si.owner() == "one"; at++ {
				si.submit(fmt.Sprintf("%014d%02d", 1, at), 4)
				si.wait(100)
			}
			qt.Check(t, si.owner(), qt.Equals, tc.owner, qt.Commentf(tc.name))
			si.setLoses(func(string) bool { return false })
			si.entries["one"].setStuck(false)
			si.wait(2000)
		})
	}
}
