package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A VM's slots must not be lent to a new pool while the previous borrower still has requests there.
func TestF6LoanEndsBeforeTheNextBegins(t *testing.T) {
	cp := &capacityPart{}
	running := true
	hasRequests := func(vm, pool string) bool { return vm == "s1" && pool == "a" && running }
	cp.apply(map[string]string{"s1": "a", "s2": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "a"), qt.IsTrue)
	cp.apply(map[string]string{"s1": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "b"), qt.IsFalse)
	qt.Assert(t, cp.isEnding("s1"), qt.IsTrue)
	qt.Assert(t, cp.isLent("s2", "b"), qt.IsFalse)
	running = false
	cp.apply(map[string]string{"s1": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "b"), qt.IsTrue)
	qt.Assert(t, cp.isEnding("s1"), qt.IsFalse)
}
