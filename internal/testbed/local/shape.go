package local

import "fmt"

// shape gives the sizes of a fleet and the services and teams of its bundle.
type shape struct {
	user       string
	entries    int
	services   []string
	vmsPerPool int
	spareVMs   int
	slotsPerVM int
	workers    int
	idleVMs    int
	meanRunMS  int64
	teams      []teamShape
}

type teamShape struct {
	name         string
	share, limit int
	jobLimit     int
}

type poolShape struct {
	name  string
	size  int
	spare bool
}

// maxUnavailable allows a maintenance step in addition to the failure of a rack. In the spare pool it allows all VMs, since all of them may be lent.
func (pl poolShape) maxUnavailable() int {
	if pl.spare {
		return pl.size
	}
	return (pl.size + zoneCount) / zoneCount
}

// SparePool is the name of the pool whose VMs are lent to other pools.
const SparePool = "spare-pool"

const (
	zoneCount          = 3
	workersPerRack     = 4
	idlePool           = "further"
	workerPool         = "workers"
	workerCores        = 32
	workerMemoryMB     = 64 << 10
	workerAccelerators = 2
)

var shapes = map[string]shape{
	"porotca": {
		user: "porotca", entries: 8, services: []string{"replies", "panels", "notices", "records", "search"},
		vmsPerPool: 10, spareVMs: 8, slotsPerVM: 8, workers: 12, meanRunMS: 20,
		teams: []teamShape{
			{"bratislava", 4, 120, 8},
			{"kosice", 3, 90, 6},
			{"nitra", 2, 60, 4},
			{"zilina", 1, 30, 2},
			{"trnava", 1, 30, 2},
			{"presov", 1, 30, 2},
		},
	},
	"kowhai": {
		user: "kowhai", entries: 7, services: []string{"previews", "checks", "bundles", "payouts", "gallery"},
		vmsPerPool: 10, spareVMs: 8, slotsPerVM: 8, workers: 12, meanRunMS: 30,
		teams: []teamShape{
			{"studio", 4, 160, 10},
			{"designers", 3, 120, 8},
			{"store", 2, 80, 6},
			{"partners", 1, 40, 2},
			{"labs", 1, 40, 2},
			{"archive", 1, 20, 2},
		},
	},
	"bench": {
		user: "bench", entries: 1, services: []string{"replies", "gallery"},
		vmsPerPool: 30, spareVMs: 0, slotsPerVM: 8, workers: 2, meanRunMS: 0,
		teams: []teamShape{{"bratislava", 3, 1000, 4}, {"nitra", 1, 1000, 2}},
	},
	"small": {
		user: "small", entries: 5, services: []string{"replies", "gallery"},
		vmsPerPool: 3, spareVMs: 2, slotsPerVM: 8, workers: 8, meanRunMS: 5,
		teams: []teamShape{{"bratislava", 3, 20, 4}, {"nitra", 1, 10, 2}},
	},
}

func (sh shape) zones() int { return zoneCount }

func (sh shape) zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zoneCount) }

func (sh shape) entryNames() []string {
	var names []string
	for i := range sh.entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	return names
}

func (sh shape) entryZone(name string) string {
	for i, other := range sh.entryNames() {
		if other == name {
			return sh.zone(i)
		}
	}
	return ""
}

func (sh shape) pools() []poolShape {
	var list []poolShape
	for _, svc := range sh.services {
		list = append(list, poolShape{svc + "-pool", sh.vmsPerPool, false})
	}
	return append(list, poolShape{SparePool, sh.spareVMs, true})
}

// open reports whether the service's queue is open, that is takes requests without a key, as the last service of each shape does.
func (sh shape) open(svc string) bool { return svc == sh.services[len(sh.services)-1] }

// idempotent reports whether the service's requests may run more than once.
func (sh shape) idempotent(svc string) bool {
	return svc == "search" || svc == "gallery" || svc == "previews"
}
