package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/capacity"
)

const (
	services      = 5
	poolVMs       = 10
	slotsPerVM    = 8
	meanSlots     = 24
	peakFactor    = 5
	offPeakFactor = 0.05
	stepMS        = 100
	planMS        = 1_000
	moveMS        = 27_000
	deadlineMS    = 2_000
	waitSteps     = deadlineMS/stepMS + 1
	loanLagMS     = 200
	spareName     = "spare"
)

// model simulates one strategy under a seeded demand in which the services peak one after the other: each request occupies a slot for one step, and one that waits past its deadline is refused.
type model struct {
	ck          *clock.Clock
	pn          *capacity.Planner
	rnd         *rand.Rand
	peakMS      int64
	spare       int
	poolOf      map[string]string
	availableMS map[string]int64
	loans       map[string]string
	slots       map[string]int
	// queues counts the waiting requests of each service by the steps that they have waited.
	queues        [services][waitSteps]int
	busy          [services]int
	waits         [waitSteps]int
	expired       int
	moves         int
	idle          float64
	shareErrorSum float64
	windows       int
	// offered and served count the requests of the current planning interval, offered with those queued at its start.
	offered   [services]int
	served    [services]int
	moveTimes map[string][]int64
}

func newModel(strategy string, peakMS int64, spare, extra int, seed uint64) *model {
	pn, err := capacity.New(strategy, slotsPerVM, moveMS)
	if err != nil {
		panic(err)
	}
	md := &model{
		ck: clock.NewFake(0), pn: pn, rnd: rand.New(rand.NewPCG(seed, seed)), peakMS: peakMS, spare: spare,
		poolOf: map[string]string{}, availableMS: map[string]int64{}, loans: map[string]string{}, slots: map[string]int{}, moveTimes: map[string][]int64{},
	}
	for i := range services {
		for k := range poolVMs + extra {
			md.poolOf[fmt.Sprintf("%s-%02d", name(i), k)] = name(i)
		}
	}
	for k := range spare {
		md.poolOf[fmt.Sprintf("%s-%02d", spareName, k)] = spareName
	}
	return md
}

var pools = [services]string{"pool-0", "pool-1", "pool-2", "pool-3", "pool-4"}

func name(i int) string { return pools[i] }

func (md *model) run(lengthMS int64) {
	for md.ck.Now() < lengthMS {
		if md.ck.Now()%planMS == 0 {
			md.plan()
		}
		md.step()
		md.ck.Advance(stepMS)
	}
}

func (md *model) plan() {
	md.count()
	defer md.count()
	plan := md.pn.Plan(md.ck.Now(), md.demands())
	for _, mv := range plan.GetMoves() {
		md.moves++
		md.moveTimes[mv.GetVm()] = append(md.moveTimes[mv.GetVm()], md.ck.Now())
		md.poolOf[mv.GetVm()] = mv.GetTo()
		md.availableMS[mv.GetVm()] = md.ck.Now() + moveMS
		dest := mv.GetTo()
		if dest == spareName {
			dest = ""
		}
		md.pn.Moved(mv.GetVm(), dest)
	}
	loans := map[string]string{}
	for _, ln := range plan.GetLoans() {
		loans[ln.GetVm()] = ln.GetPool()
	}
	md.ck.AfterFunc(loanLagMS, func() {
		md.loans = loans
		md.count()
	})
	for i := range services {
		if md.offered[i] > 0 {
			md.shareErrorSum += math.Max(0, float64(md.offered[i]-md.served[i])) / float64(md.offered[i])
			md.windows++
		}
		md.offered[i], md.served[i] = md.queued(i), 0
	}
}

func (md *model) demands() []*fleetpb.PoolDemand {
	list := []*fleetpb.PoolDemand{{Pool: spareName, Spare: true, Vms: md.vmsOf(spareName)}}
	for i := range services {
		list = append(list, &fleetpb.PoolDemand{
			Pool: name(i), Queued: uint32(md.queued(i)), Busy: uint32(md.busy[i]), Slots: uint32(md.slots[name(i)]), Vms: md.vmsOf(name(i)),
		})
	}
	return list
}

func (md *model) vmsOf(pool string) []string {
	var vms []string
	for vm, at := range md.poolOf {
		if at == pool && md.availableMS[vm] <= md.ck.Now() {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// count updates how many slots serve each pool now.
func (md *model) count() {
	now := md.ck.Now()
	clear(md.slots)
	for vm, pool := range md.poolOf {
		if md.availableMS[vm] > now {
			continue
		}
		if pool == spareName {
			pool = md.loans[vm]
		}
		md.slots[pool] += slotsPerVM
	}
}

func (md *model) queued(i int) int {
	sum := 0
	for _, cnt := range md.queues[i] {
		sum += cnt
	}
	return sum
}

func (md *model) step() {
	now := md.ck.Now()
	busy := 0
	for i := range services {
		rate := meanSlots * offPeakFactor
		if int(now/md.peakMS)%services == i {
			rate = meanSlots * peakFactor
		}
		arrivals := poisson(md.rnd, rate)
		md.queues[i][0] += arrivals
		md.offered[i] += arrivals
		free := md.slots[pools[i]]
		md.busy[i] = 0
		for waited := waitSteps - 1; waited >= 0; waited-- {
			started := min(md.queues[i][waited], free)
			md.queues[i][waited] -= started
			md.waits[waited] += started
			md.busy[i] += started
			free -= started
		}
		md.served[i] += md.busy[i]
		busy += md.busy[i]
		md.expired += md.queues[i][waitSteps-1]
		copy(md.queues[i][1:], md.queues[i][:waitSteps-1])
		md.queues[i][0] = 0
	}
	md.idle += float64(len(md.poolOf)*slotsPerVM-busy) / slotsPerVM
}

func (md *model) waitP99() int64 {
	total := md.expired
	for _, cnt := range md.waits {
		total += cnt
	}
	left := total - total*99/100
	if left -= md.expired; left <= 0 {
		return deadlineMS
	}
	for waited := waitSteps - 1; waited >= 0; waited-- {
		if left -= md.waits[waited]; left <= 0 {
			return int64(waited * stepMS)
		}
	}
	return 0
}

func (md *model) idleVMs() float64 { return md.idle * stepMS / float64(md.ck.Now()) }

func (md *model) movesPerHour() float64 { return float64(md.moves) * 3_600_000 / float64(md.ck.Now()) }

func (md *model) shareError() float64 { return md.shareErrorSum / float64(md.windows) }

func (md *model) refused() float64 {
	total := md.expired
	for _, cnt := range md.waits {
		total += cnt
	}
	return float64(md.expired) / float64(total)
}

// poisson draws from a Poisson distribution: by normal approximation for means above 30, else by multiplying uniform variates.
func poisson(rnd *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rnd.NormFloat64())))
	}
	limit, prod, cnt := math.Exp(-mean), rnd.Float64(), 0
	for prod > limit {
		prod *= rnd.Float64()
		cnt++
	}
	return cnt
}
