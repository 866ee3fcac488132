package commitguard_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/commitguard"
)

// Guards against the loss of all commits to one row: among a hundred things that wait in order, the refused one must be found with few commits, and all others be stored.
func TestRefusedRowIsFoundAndTheOthersAreStored(t *testing.T) {
	const things, maxCommits = 100, 30
	for _, bad := range []int{0, 1, 37, 98, 99} {
		gd := commitguard.New(90)
		var waiting []string
		for at := range things {
			waiting = append(waiting, fmt.Sprint(at))
		}
		commits, nowMS := 0, int64(0)
		for len(waiting) > 0 && commits < maxCommits {
			commits++
			held := waiting[:min(gd.Limit(), len(waiting))]
			refused := false
			for _, name := range held {
				refused = refused || name == fmt.Sprint(bad)
			}
			if !refused {
				gd.RecordStored()
				waiting = waiting[len(held):]
				continue
			}
			if culprit, found := gd.RecordRefused(held, nowMS); found {
				qt.Check(t, culprit, qt.Equals, fmt.Sprint(bad))
				waiting = waiting[1:]
			}
		}
		qt.Check(t, waiting, qt.HasLen, 0, qt.Commentf("bad row %d", bad))
		qt.Check(t, gd.Aside(fmt.Sprint(bad), nowMS), qt.IsTrue)
		qt.Check(t, gd.Aside("50", nowMS), qt.IsFalse)
	}
}

// A thing that was refused must be tried again one day.
func TestRefusedRowIsTriedAgain(t *testing.T) {
	gd := commitguard.New(10)
	_, found := gd.RecordRefused([]string{"one"}, 1000)
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, gd.Aside("one", 20_000), qt.IsTrue)
	qt.Check(t, gd.Aside("one", 40_000), qt.IsFalse)
}
