package sizefairness_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/sizefairness"
)

const rounds = 20

// history returns a history of jobs with work of 1 to 10, of which those of the given sizes were not in time.
func history(missed ...int64) *sizefairness.History {
	hi := sizefairness.New()
	for range rounds {
		for work := int64(1); work <= 10; work++ {
			inTime := true
			for _, each := range missed {
				inTime = inTime && work != each
			}
			hi.Record(work, inTime)
		}
	}
	return hi
}

// Guards against large jobs that are given up for small ones without end, and against keeping places while they are served as the others.
func TestKept(t *testing.T) {
	waiting := []int64{1, 10, 8, 10, 5, 9, 3}
	none := make([]bool, len(waiting))
	qt.Check(t, sizefairness.New().Kept(waiting), qt.DeepEquals, none)
	qt.Check(t, history().Kept(waiting), qt.DeepEquals, none)
	qt.Check(t, history(1, 2, 3).Kept(waiting), qt.DeepEquals, none)
	qt.Check(t, history(10).Kept(waiting), qt.DeepEquals, []bool{false, true, false, true, false, false, false})
	qt.Check(t, history(8, 9).Kept(waiting), qt.DeepEquals, []bool{false, false, true, false, false, true, false})
}

// A class that is behind by a few jobs must keep a few places, not those of all its jobs, and none once it has caught up.
func TestNoMorePlacesAreKeptThanAreMissing(t *testing.T) {
	waiting := make([]int64, 15)
	for at := range waiting {
		waiting[at] = 10
	}
	hi := history()
	for range 8 {
		hi.Record(10, false)
	}
	kept := 0
	for _, each := range hi.Kept(waiting) {
		if each {
			kept++
		}
	}
	qt.Check(t, kept >= 1 && kept <= 8, qt.IsTrue, qt.Commentf("%d places kept for 8 jobs that were not in time", kept))
	for range rounds {
		for work := int64(1); work <= 10; work++ {
			hi.Record(work, true)
		}
	}
	qt.Check(t, hi.Kept(waiting), qt.DeepEquals, make([]bool, len(waiting)))
}
