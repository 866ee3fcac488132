package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against two teams' jobs being late because a third asks for more than the pool's capacity: one team asks for twice the capacity, the two others for a fifth of it each.
func TestTeamsGetTheirShareBesideOneThatRequestsFarMore(t *testing.T) {
	const (
		tickMS      = 100
		submitMS    = 20_000
		objectiveMS = 1600*1.6 + 600
	)
	intervalMS := map[string]int64{"hot": 200, "calm-1": 2000, "calm-2": 2000}
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	rules := testRules()
	rules.Teams = nil
	for team := range intervalMS {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: team, Weight: 1})
	}
	fl.setRules(rules)
	fl.setBehavior(800, workpb.End_END_DONE)
	submittedMS := map[string]int64{}
	onTime, submitted := map[string]int{}, map[string]int{}
	for atMS := int64(0); atMS < submitMS+5000; atMS += tickMS {
		for team, interval := range intervalMS {
			if atMS%interval != 0 || atMS >= submitMS {
				continue
			}
			id := fmt.Sprintf("%s:%d", team, atMS)
			jb := jobOf(id, stepOf(4), stepOf(4, 0))
			jb.Team = team
			submittedMS[id] = atMS
			submitted[team]++
			fl.submit(jb)
		}
		fl.run(tickMS)
		for id, atSubmitMS := range submittedMS {
			if fl.state(id) == workpb.State_COMPLETED {
				if atMS+tickMS-atSubmitMS <= objectiveMS {
					onTime[fl.jobs[id].GetTeam()]++
				}
				delete(submittedMS, id)
			}
		}
	}
	for _, team := range []string{"calm-1", "calm-2"} {
		qt.Check(t, onTime[team]*10 >= submitted[team]*9, qt.IsTrue, qt.Commentf("%s: %d of %d on time", team, onTime[team], submitted[team]))
	}
	// The team that asks for twice the capacity gets what the others leave; the pool completes 2.5 jobs a second in all.
	qt.Check(t, onTime["hot"] >= 20, qt.IsTrue, qt.Commentf("hot: %d of %d on time", onTime["hot"], submitted["hot"]))
}

// Guards against placing the jobs of public queues, which belong to no team, after those of teams within their share.
func TestWorkOfNoTeamIsNotDeprioritized(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	rules := testRules()
	rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}}
	fl.setRules(rules)
	fl.setBehavior(800, workpb.End_END_DONE)
	submitPublic := func(id string) {
		jb := jobOf(id, stepOf(4))
		jb.Team = ""
		fl.submit(jb)
	}
	submitPublic("before")
	fl.run(1500)
	delete(fl.jobs, "before")
	for at := range 4 {
		submitPublic(fmt.Sprintf("p%d", at))
		fl.submit(jobOf(fmt.Sprintf("t%d", at), stepOf(4)))
	}
	fl.run(1200)
	done := map[string]int{}
	for id, jb := range fl.jobs {
		if fl.state(id) == workpb.State_COMPLETED {
			done[jb.GetTeam()]++
		}
	}
	qt.Check(t, done[""] >= done["t"], qt.IsTrue, qt.Commentf("%d jobs of no team completed, %d of team t", done[""], done["t"]))
}

// shareFleet returns a fleet of one VM in each zone. The team "hot" uses two of them and two others share the third one.
func shareFleet(t *testing.T) (*fleet, *workpb.Rules) {
	vms := []*workpb.VM{vmOf("a"), vmOf("b"), vmOf("c")}
	for _, vm := range vms {
		vm.Zone = "zone-" + vm.GetId()
		vm.Labels = []string{map[string]string{"a": "x", "b": "x", "c": "y"}[vm.GetId()]}
	}
	fl := newFleet(t, vms...)
	rules := testRules()
	rules.Teams = nil
	for _, team := range []string{"hot", "calm-1", "calm-2"} {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: team, Weight: 1})
	}
	fl.setRules(rules)
	fl.setBehavior(60_000, workpb.End_END_DONE)
	for team, count := range map[string]int32{"hot": 16, "calm-1": 4, "calm-2": 4} {
		jb := jobOf(team, stepOf(count))
		jb.Steps[0].Label = "y"
		if team == "hot" {
			jb.Steps[0].Label = "x"
		}
		jb.Team = team
		fl.submit(jb)
	}
	fl.run(20)
	return fl, rules
}

// The shares must be stored at most once a second, and not at all while no team is above its share.
func TestSharesAreStoredWhileATeamIsAbove(t *testing.T) {
	fl, _ := shareFleet(t)
	var stored []*workpb.Shares
	for range 5000 / stepMS {
		fl.run(stepMS)
		if row := fl.ct.SharesToStore(); row != nil {
			stored = append(stored, row)
		}
	}
	qt.Assert(t, len(stored) >= 4 && len(stored) <= 5, qt.IsTrue, qt.Commentf("%d rows in 5 s", len(stored)))
	qt.Check(t, fl.ct.ShareLevels(), qt.DeepEquals, map[string]map[string]int32{"s": {"hot": 1}})
	fl.ct.Cancel("hot")
	fl.run(3000)
	for range 20_000 / stepMS {
		fl.run(stepMS)
		if row := fl.ct.SharesToStore(); row != nil {
			stored = append(stored, row)
		}
	}
	last := stored[len(stored)-1]
	qt.Check(t, last.GetServices(), qt.HasLen, 0)
	qt.Check(t, fl.ck.Now()-last.GetStoredMs() > 3000, qt.IsTrue, qt.Commentf("the last row is stored when the levels end, and none after it"))
}

// A new owner must know at once how far a team is above its share, also while it hasn't polled the VMs on which the team's tasks run, and forget it as its predecessor would.
func TestSuccessorKnowsTheLevels(t *testing.T) {
	fl, rules := shareFleet(t)
	fl.run(8000)
	row := fl.ct.SharesToStore()
	qt.Assert(t, row, qt.IsNotNil)
	fl.unresponsive = map[string]bool{"a": true, "b": true}
	fl.newOwner()
	fl.setRules(rules)
	qt.Check(t, fl.ct.ShareLevels(), qt.HasLen, 0)
	fl.ct.RestoreShares(row)
	qt.Check(t, fl.ct.ShareLevels(), qt.DeepEquals, map[string]map[string]int32{"s": {"hot": 1}})
	fl.run(3000)
	qt.Check(t, fl.ct.ShareLevels(), qt.DeepEquals, map[string]map[string]int32{"s": {"hot": 1}})
	qt.Check(t, fl.ct.SharesToStore().GetServices(), qt.HasLen, 1)
}

// A successor without a row begins without levels, and one that restored levels stores their end, so that no later owner takes them over.
func TestSuccessorStoresTheEndOfRestoredLevels(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	qt.Assert(t, fl.ct.SharesToStore(), qt.IsNil)
	fl.ct.RestoreShares(&workpb.Shares{})
	qt.Assert(t, fl.ct.SharesToStore(), qt.IsNil)
	fl.ct.RestoreShares(&workpb.Shares{StoredMs: fl.ck.Now() - 60_000, Services: []*workpb.ServiceShares{{Service: "s", CoresMilli: map[string]int64{"t": 5000, "u": 1}}}})
	fl.run(2000)
	row := fl.ct.SharesToStore()
	qt.Assert(t, row, qt.IsNotNil)
	qt.Check(t, row.GetServices(), qt.HasLen, 0)
	fl.run(2000)
	qt.Check(t, fl.ct.SharesToStore(), qt.IsNil)
}

// A team whose tasks are in a zone that is cut off must keep its level: what it uses there is no other team's, and it must not fill the rest of the pool as well.
func TestTeamInACutOffZoneKeepsItsLevel(t *testing.T) {
	fl, _ := shareFleet(t)
	fl.run(6000)
	qt.Assert(t, fl.ct.ShareLevels()["s"]["hot"], qt.Equals, int32(1))
	fl.unresponsive["a"], fl.unresponsive["b"] = true, true
	for range 4000 / stepMS {
		fl.run(stepMS)
		qt.Assert(t, fl.ct.ShareLevels()["s"]["hot"], qt.Equals, int32(1))
	}
}

// A configuration that changes weights while the pool is full must show in the levels at once, without a restart.
func TestLevelsFollowAConfigurationUnderLoad(t *testing.T) {
	fl, rules := shareFleet(t)
	fl.run(8000)
	qt.Assert(t, fl.ct.ShareLevels()["s"], qt.DeepEquals, map[string]int32{"hot": 1})
	rules.Teams[0].Weight = 0.1
	fl.setRules(rules)
	fl.run(200)
	qt.Check(t, fl.ct.ShareLevels()["s"], qt.DeepEquals, map[string]int32{"hot": 4})
	rules.Teams[0].Weight = 4
	fl.setRules(rules)
	fl.run(200)
	qt.Check(t, fl.ct.ShareLevels(), qt.HasLen, 0)
	rules.Teams = nil
	fl.setRules(rules)
	fl.run(200)
	qt.Check(t, fl.ct.ShareLevels(), qt.HasLen, 0, qt.Commentf("without weights no team is above its share"))
}
