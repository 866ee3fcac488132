package local

import "fmt"

// Violations describes the guarantees that have been violated so far. It uses only what was recorded at the endpoints and workers, not the counters of the entries under test.
func (fl *Fleet) Violations() []string {
	var list []string
	for _, id := range fl.rec.Repeated() {
		if !fl.IdempotentID(id) {
			list = append(list, fmt.Sprintf("request %s ran %d times", id, fl.rec.Runs(id)))
		}
	}
	for _, team := range fl.Teams() {
		if peak := fl.rec.Peak("team:" + team); peak > fl.Limit(team) {
			list = append(list, fmt.Sprintf("team %s ran %d requests at once, limit %d", team, peak, fl.Limit(team)))
		}
		if peak := fl.rec.Peak("job-team:" + team); peak > fl.JobLimit(team) {
			list = append(list, fmt.Sprintf("team %s ran %d jobs at once, limit %d", team, peak, fl.JobLimit(team)))
		}
	}
	return append(list, fl.rec.Violations()...)
}

// CutZone cuts a zone's entries off from the platform and from the entries of other zones, or rejoins them.
func (fl *Fleet) CutZone(zone string, cut bool) {
	fl.nw.setCut(zone, cut)
	for _, en := range fl.Entries() {
		if en.Zone() == zone {
			fl.pf.SetCut(en.Name(), cut)
		}
	}
}

// Reboots returns how many VM reboots have finished.
func (fl *Fleet) Reboots() int { return fl.pf.Reboots() }
