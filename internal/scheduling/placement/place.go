package placement

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Place returns a worker that fits the need. It prefers the zone with the fewest reservations of the team, then the sampled rack with the fewest, and within that rack the best fit. Workers listed in avoid are skipped. The search gives up after a bounded number of visits; the next call starts from another random rack.
func (ix *Index) Place(team string, need size.Size, avoid []string) (string, bool) {
	ix.visits = 0
	zoneVisits := max(minZoneVisits, maxVisits/max(1, len(ix.zoneList)))
	firstKind := plain
	if need.Accelerators() > 0 {
		firstKind = accelerated
	}
	zones := ix.zonesByTeamLoad(team)
	for kind := firstKind; kind < numKinds; kind++ {
		for _, zn := range zones {
			if !zn.trees[kind].fits(need) {
				continue
			}
			if wk := ix.placeInZone(zn, kind, team, need, avoid, ix.visits+zoneVisits); wk != nil {
				return wk.name, true
			}
		}
	}
	return "", false
}

// zonesByTeamLoad returns the zones in ascending order of the team's reservations; ties are broken by a random rotation.
func (ix *Index) zonesByTeamLoad(team string) []*zone {
	zones := slices.Clone(ix.zoneList)
	if len(zones) > 1 {
		offset := int(ix.nextRandom() % uint64(len(zones)))
		zones = append(zones[offset:], zones[:offset]...)
	}
	slices.SortStableFunc(zones, func(a, b *zone) int { return int(a.teamCounts[team]) - int(b.teamCounts[team]) })
	return zones
}

// placeInZone searches the racks of a zone from a random one on and returns the best candidate found within the visit limit.
func (ix *Index) placeInZone(zn *zone, kind int, team string, need size.Size, avoid []string, visitLimit int) *worker {
	tr := zn.trees[kind]
	start := int(ix.nextRandom() % uint64(tr.leaves))
	var best *worker
	candidates := 0
	for _, span := range [2][2]int{{start, tr.leaves}, {0, start}} {
		for leaf := tr.next(span[0], need, &ix.visits); leaf >= 0 && leaf < span[1]; leaf = tr.next(leaf+1, need, &ix.visits) {
			if wk := ix.bestFit(zn.racks[leaf], kind, need, avoid); wk != nil {
				candidates++
				if best == nil || wk.rack.teamCounts[team] < best.rack.teamCounts[team] {
					best = wk
				}
			}
			if candidates == maxCandidates || ix.visits > visitLimit {
				return best
			}
		}
	}
	return best
}

// bestFit returns the usable worker of a rack that would have the least capacity left by its dominant resource.
func (ix *Index) bestFit(rk *rack, kind int, need size.Size, avoid []string) *worker {
	var best *worker
	var leastLeft float64
	for _, wk := range rk.workers {
		ix.visits++
		if wk.kind() != kind || wk.blocked != 0 || wk.holder != "" || !need.Fits(wk.free) || slices.Contains(avoid, wk.name) {
			continue
		}
		if left := wk.free.Minus(need).Dominant(wk.total); best == nil || left < leastLeft {
			best, leastLeft = wk, left
		}
	}
	return best
}

// nextRandom returns the next number of a xorshift generator, which makes placements reproducible from the seed.
func (ix *Index) nextRandom() uint64 {
	ix.randomState ^= ix.randomState << 13
	ix.randomState ^= ix.randomState >> 7
	ix.randomState ^= ix.randomState << 17
	return ix.randomState * randomMultiplier >> 16
}
