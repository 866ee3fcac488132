package local

import "strings"

// Services returns the names of the services.
func (fl *Fleet) Services() []string { return fl.shape.services }

// Open reports whether a service takes requests without a key.
func (fl *Fleet) Open(service string) bool { return fl.shape.open(service) }

// Teams returns the names of the teams.
func (fl *Fleet) Teams() []string {
	var names []string
	for _, ts := range fl.shape.teams {
		names = append(names, ts.name)
	}
	return names
}

// Limit returns a team's concurrency limit for requests in the first bundle.
func (fl *Fleet) Limit(team string) int { return fl.teamShape(team).limit }

// JobLimit returns a team's concurrency limit for jobs in the first bundle.
func (fl *Fleet) JobLimit(team string) int { return fl.teamShape(team).jobLimit }

// ShareFraction returns a team's share divided by the sum of all shares.
func (fl *Fleet) ShareFraction(team string) float64 {
	sum := 0
	for _, ts := range fl.shape.teams {
		sum += ts.share
	}
	return float64(fl.teamShape(team).share) / float64(sum)
}

// Capacity returns how many requests per second the pool of a service can serve.
func (fl *Fleet) Capacity(string) float64 {
	const msPerSecond = 1000
	return float64(fl.shape.vmsPerPool*fl.shape.slotsPerVM) * msPerSecond / float64(fl.shape.meanRunMS+1)
}

func (fl *Fleet) teamShape(team string) teamShape {
	for _, ts := range fl.shape.teams {
		if ts.name == team {
			return ts
		}
	}
	return teamShape{}
}

// IdempotentID reports whether a recorded id belongs to a service whose requests may run more than once.
func (fl *Fleet) IdempotentID(id string) bool {
	svc, _, _ := strings.Cut(id, "/")
	return fl.shape.idempotent(svc)
}

// Targets returns the caller addresses of the entries that are ready, which are those a load balancer sends to.
func (fl *Fleet) Targets() []string {
	var list []string
	for _, en := range fl.Entries() {
		if en.Ready() {
			list = append(list, en.CallerAddress())
		}
	}
	return list
}

// PeerBytes returns how many bytes the entries have received on their peer listeners.
func (fl *Fleet) PeerBytes() int64 { return fl.peerBytes.Load() }

// TotalSlots returns the number of slots of all endpoints, those of the spare pool included.
func (fl *Fleet) TotalSlots() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.endpoints) * fl.shape.slotsPerVM
}

// BusySlots returns how many slots are in use.
func (fl *Fleet) BusySlots() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sum := 0
	for _, ep := range fl.endpoints {
		sum += ep.Busy()
	}
	return sum
}
