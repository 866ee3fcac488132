package duequeue_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/duequeue"
)

func TestPopDue(t *testing.T) {
	dq := duequeue.New()
	dq.Set("a", 30)
	dq.Set("b", 10)
	dq.Set("c", 20)
	dq.Set("d", 20)
	dq.Set("b", 25)
	dq.Set("e", 5)
	dq.Remove("e")
	dq.Remove("f")
	qt.Check(t, dq.PopDue(19), qt.HasLen, 0)
	qt.Check(t, dq.PopDue(25), qt.DeepEquals, []string{"c", "d", "b"})
	qt.Check(t, dq.PopDue(25), qt.HasLen, 0)
	dq.Set("b", 40)
	qt.Check(t, dq.PopDue(100), qt.DeepEquals, []string{"a", "b"})
}
