package scenario

import (
	"context"
	"slices"
	"strconv"
	"strings"
)

// pollMS is the interval at which a waiting expect command checks its condition.
const pollMS = 20

// expect runs the command "expect FACT ...", which checks or waits for one fact, for example "expect held", "expect code 102", "expect outcome not-run", "expect ran SERVICE 1",
// "expect running TEAM 0" or "expect load all answered"; "expect code 102 from TEAM SERVICE [entry=NAME]" repeats the call until it gets the code.
func (sc *scenario) expect(args []string) {
	sc.requireArgs(args, 1, "expect FACT ...")
	checks := map[string]func([]string){
		"held":     sc.expectHeld,
		"code":     sc.expectCode,
		"outcome":  sc.expectOutcome,
		"ran":      sc.expectRan,
		"peak":     sc.expectPeak,
		"running":  sc.expectRunning,
		"load":     sc.expectLoad,
		"settled":  sc.expectSettled,
		"accepted": sc.expectAccepted,
		"pending":  sc.expectPending,
		"dead":     sc.expectDead,
		"version":  sc.expectVersion,
		"job":      sc.expectJob,
		"job-runs": sc.expectJobRuns,
		"wave":     sc.expectWave,
		"vm":       sc.expectVM,
		"used":     sc.expectUsed,
	}
	fn, ok := checks[args[0]]
	if !ok {
		sc.ts.Fatalf("expect: unknown fact %q", args[0])
	}
	fn(args[1:])
}

// expectHeld checks that no guarantee of the fleet was violated and that the load got no partial answer as a complete one: expect held.
func (sc *scenario) expectHeld([]string) {
	if list := sc.fl.Violations(); len(list) > 0 {
		sc.ts.Fatalf("violated: %s", strings.Join(list, "; "))
	}
	for _, rs := range sc.tallies {
		if rs.Broken() > 0 {
			sc.ts.Fatalf("team %s got %d partial answers as complete", rs.Team(), rs.Broken())
		}
	}
}

// expectCode checks the code of the last response, or with "from" repeats a call until it gets one of the codes: expect code CODE... [from TEAM SERVICE [entry=NAME]].
func (sc *scenario) expectCode(args []string) {
	at := slices.Index(args, "from")
	if at < 0 {
		sc.requireOneOf(args, strconv.Itoa(sc.last.code), "code")
		return
	}
	call := args[at+1:]
	sc.waitUntil("code "+strings.Join(args, " "), func() bool {
		sc.last = sc.sendCall(call[0], call[1], parseOptions(call[2:]))
		return slices.Contains(args[:at], strconv.Itoa(sc.last.code))
	})
}

// expectOutcome checks the outcome of the last call: expect outcome OUTCOME....
func (sc *scenario) expectOutcome(args []string) {
	sc.requireOneOf(args, sc.last.outcome, "outcome with code "+strconv.Itoa(sc.last.code))
}

// expectRan checks how often the request of the last call was run by endpoints: expect ran SERVICE COUNT.
func (sc *scenario) expectRan(args []string) {
	got := sc.fl.Recorder().Runs(args[0] + "/" + sc.last.id)
	sc.requireOneOf(args[1:], strconv.Itoa(got), "runs of "+sc.last.id)
}

// expectRunning waits until a number of the team's requests are running: expect running TEAM COUNT.
func (sc *scenario) expectRunning(args []string) {
	want := int(sc.parseNumber(args[1]))
	sc.waitUntil("running "+strings.Join(args, " "), func() bool {
		return sc.fl.Recorder().Running("team:"+args[0]) == want
	})
}

// expectPeak checks that at least a number of the team's requests have run at once: expect peak TEAM MIN.
func (sc *scenario) expectPeak(args []string) {
	got := sc.fl.Recorder().Peak("team:" + args[0])
	if got < int(sc.parseNumber(args[1])) {
		sc.ts.Fatalf("team %s ran at most %d at once, expected at least %s", args[0], got, args[1])
	}
}

// expectLoad checks the outcomes of the finished load: "expect load all answered", "expect load some answered", "expect load none unknown".
func (sc *scenario) expectLoad(args []string) {
	sent, got := 0, 0
	for _, rs := range sc.tallies {
		sent += rs.Sent()
		got += map[string]int{"answered": rs.Answered(), "not-run": rs.NotRun(), "unknown": rs.Unknown()}[args[1]]
	}
	ok := map[string]bool{"all": got == sent && sent > 0, "some": got > 0, "none": got == 0 && sent > 0}
	if !ok[args[0]] {
		sc.ts.Fatalf("load: %d of %d %s, expected %s", got, sent, args[1], args[0])
	}
}

// requireOneOf fails the script unless got is one of the wanted values.
func (sc *scenario) requireOneOf(want []string, got, name string) {
	if !slices.Contains(want, got) {
		sc.ts.Fatalf("%s is %s, expected %s", name, got, strings.Join(want, " or "))
	}
}

// waitUntil waits for a condition and fails the script after timeoutMS.
func (sc *scenario) waitUntil(what string, cond func() bool) {
	end := sc.ck.Now() + timeoutMS
	for !cond() {
		if sc.ck.Now() > end {
			sc.ts.Fatalf("timeout after %d ms: %s", timeoutMS, what)
		}
		sc.check(sc.ck.Sleep(context.Background(), pollMS))
	}
}

func (sc *scenario) requireArgs(args []string, count int, usage string) {
	if len(args) < count {
		sc.ts.Fatalf("usage: %s", usage)
	}
}

func (sc *scenario) parseNumber(text string) float64 {
	val, err := strconv.ParseFloat(text, 64)
	sc.check(err)
	return val
}

func (sc *scenario) check(err error) {
	if err != nil {
		sc.ts.Fatalf("%v", err)
	}
}
