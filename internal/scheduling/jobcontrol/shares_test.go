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
