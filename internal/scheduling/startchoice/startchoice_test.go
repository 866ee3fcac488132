package startchoice_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/startchoice"
)

const marginMS = 150

// waiting is a job that is added under its position.
type waiting struct {
	latestMS, workCoreMS int64
	level                int32
	kept                 bool
}

func deferred(roomMilli, begunCoreMS int64, jobs ...waiting) []int {
	ch := startchoice.New(0, roomMilli, begunCoreMS)
	for at, jb := range jobs {
		ch.Add(at, jb.latestMS, jb.workCoreMS, jb.level, jb.kept)
	}
	out := ch.Deferred()
	slices.Sort(out)
	return out
}

// The choice must give up as few and as large jobs as needed, of the team furthest above its share first, and none while all can start in time.
func TestDeferred(t *testing.T) {
	for _, each := range []struct {
		name  string
		begun int64
		jobs  []waiting
		want  []int
	}{
		{"none", 0, nil, nil},
		{"all start in time", 0, []waiting{{latestMS: 100, workCoreMS: 1000}, {latestMS: 1000, workCoreMS: 9000}}, nil},
		{"the largest gives way", 0, []waiting{{latestMS: 500, workCoreMS: 3000}, {latestMS: 510, workCoreMS: 500}, {latestMS: 520, workCoreMS: 500}}, []int{0}},
		{"the last itself gives way", 0, []waiting{{latestMS: 500, workCoreMS: 600}, {latestMS: 510, workCoreMS: 500}, {latestMS: 520, workCoreMS: 9000}}, []int{2}},
		{"the higher level gives way", 0, []waiting{{latestMS: 500, workCoreMS: 600}, {latestMS: 510, workCoreMS: 500, level: 1}, {latestMS: 520, workCoreMS: 500}}, []int{1}},
		{"the highest of several levels", 0, []waiting{{latestMS: 500, workCoreMS: 500, level: 3}, {latestMS: 510, workCoreMS: 600, level: 1}, {latestMS: 520, workCoreMS: 500}}, []int{0}},
		{"a kept one stays", 0, []waiting{{latestMS: 500, workCoreMS: 600, kept: true}, {latestMS: 510, workCoreMS: 550}, {latestMS: 520, workCoreMS: 500}}, []int{1}},
		{"kept is within a level only", 0, []waiting{{latestMS: 500, workCoreMS: 600, level: 2, kept: true}, {latestMS: 510, workCoreMS: 500}, {latestMS: 520, workCoreMS: 500}}, []int{0}},
		{"work begun leaves no room", 5000, []waiting{{latestMS: 500, workCoreMS: 800}, {latestMS: 6000, workCoreMS: 800}}, []int{0}},
	} {
		qt.Check(t, deferred(1000, each.begun, each.jobs...), qt.DeepEquals, each.want, qt.Commentf(each.name))
	}
	qt.Check(t, deferred(0, 0, waiting{latestMS: 500, workCoreMS: 100}, waiting{latestMS: 500, workCoreMS: 100}), qt.DeepEquals, []int{0}, qt.Commentf("without room the first job still doesn't wait behind another"))
}

// Whatever the jobs, each chosen one must be able to start in time behind the chosen ones of less slack, no job may be given up while all fit, and none while a chosen one of a higher level was taken before it.
func TestChosenJobsStartInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		room, begun := rapid.Int64Range(1000, 20_000).Draw(rt, "room"), rapid.Int64Range(0, 20_000).Draw(rt, "begun")
		jobs := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) waiting {
			return waiting{
				latestMS: rapid.Int64Range(0, 5000).Draw(rt, "latest"), workCoreMS: rapid.Int64Range(50, 20_000).Draw(rt, "work"),
				level: rapid.Int32Range(0, 4).Draw(rt, "level"), kept: rapid.Bool().Draw(rt, "kept"),
			}
		}), 0, 30).Draw(rt, "jobs")
		left := map[int]bool{}
		for _, at := range deferred(room, begun, jobs...) {
			left[at] = true
		}
		order := make([]int, len(jobs))
		for at := range order {
			order[at] = at
		}
		slices.SortStableFunc(order, func(aa, bb int) int { return int(jobs[aa].latestMS - jobs[bb].latestMS) })
		sum, all, fits := begun, begun, true
		for _, at := range order {
			jb := jobs[at]
			allowed := room * (jb.latestMS + marginMS)
			fits = fits && all*1000 <= allowed
			all += jb.workCoreMS
			if left[at] {
				continue
			}
			if sum*1000 > allowed {
				rt.Fatalf("job %d starts too late", at)
			}
			sum += jb.workCoreMS
		}
		if fits && len(left) > 0 {
			rt.Fatalf("%v deferred although all fit", left)
		}
		for at := range left {
			for _, other := range order {
				if other == at {
					break
				}
				if !left[other] && jobs[other].level > jobs[at].level {
					rt.Fatalf("job %d of level %d deferred, %d of level %d chosen before it", at, jobs[at].level, other, jobs[other].level)
				}
			}
		}
	})
}
