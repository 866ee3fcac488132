package duequeue_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/duequeue"
)

func TestDue(t *testing.T) {
	ag := duequeue.New()
	ag.Set("a", 30)
	ag.Set("b", 10)
	ag.Set("c", 20)
	ag.Set("d", 20)
	ag.Set("b", 25)
	ag.Set("e", 5)
	ag.Remove("e")
	ag.Remove("f")
	qt.Check(t, ag.PopDue(19), qt.HasLen, 0)
	qt.Check(t, ag.PopDue(25), qt.DeepEquals, []string{"c", "d", "b"})
	qt.Check(t, ag.PopDue(25), qt.HasLen, 0)
	ag.Set("b", 40)
	qt.Check(t, ag.PopDue(100), qt.DeepEquals, []string{"a", "b"})
}
