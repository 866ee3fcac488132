package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// One team asks for twice what the pool holds, two others for a fifth of it each.
func TestTeamsGetTheirShareBesideOneThatAsksForFarMore(t *testing.T) {
	const (
		tickMS      = 100
		playMS      = 20_000
		objectiveMS = 1600*1.6 + 600
	)
	gapMS := map[string]int64{"hot": 200, "calm-1": 2000, "calm-2": 2000}
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	rules := testRules()
	rules.Teams = nil
	for team := range gapMS {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: team, Weight: 1})
	}
	fl.setRules(rules)
	fl.behave(800, workpb.End_END_DONE)
	begun := map[string]int64{}
	inTime, asked := map[string]int{}, map[string]int{}
	for atMS := int64(0); atMS < playMS+5000; atMS += tickMS {
		for team, gap := range gapMS {
			if atMS%gap != 0 || atMS >= playMS {
				continue
			}
			id := fmt.Sprintf("%s:%d", team, atMS)
			jb := jobOf(id, stepOf(4), stepOf(4, 0))
			jb.Team = team
			begun[id] = atMS
			asked[team]++
			fl.submit(jb)
		}
		fl.play(tickMS)
		for id, sinceMS := range begun {
			if fl.state(id) == workpb.State_COMPLETED {
				if atMS+tickMS-sinceMS <= objectiveMS {
					inTime[fl.jobs[id].GetTeam()]++
				}
				delete(begun, id)
			}
		}
	}
	for _, team := range []string{"calm-1", "calm-2"} {
		qt.Check(t, inTime[team]*10 >= asked[team]*9, qt.IsTrue, qt.Commentf("%s: %d of %d in time", team, inTime[team], asked[team]))
	}
	// What the calm teams leave is the other's: 2.5 jobs a second in all.
	qt.Check(t, inTime["hot"] >= 20, qt.IsTrue, qt.Commentf("hot: %d of %d in time", inTime["hot"], asked["hot"]))
}

// A public queue's jobs, which belong to no team, are served like those of a team within its share.
func TestWorkOfNoTeamDoesNotYield(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	rules := testRules()
	rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}}
	fl.setRules(rules)
	fl.behave(800, workpb.End_END_DONE)
	submitPublic := func(id string) {
		jb := jobOf(id, stepOf(4))
		jb.Team = ""
		fl.submit(jb)
	}
	submitPublic("before")
	fl.play(1500)
	delete(fl.jobs, "before")
	for at := range 4 {
		submitPublic(fmt.Sprintf("p%d", at))
		fl.submit(jobOf(fmt.Sprintf("t%d", at), stepOf(4)))
	}
	fl.play(1200)
	done := map[string]int{}
	for id, jb := range fl.jobs {
		if fl.state(id) == workpb.State_COMPLETED {
			done[jb.GetTeam()]++
		}
	}
	qt.Check(t, done[""] >= done["t"], qt.IsTrue, qt.Commentf("%v", done))
}
