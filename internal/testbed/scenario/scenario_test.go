package scenario

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/clockdriver"
	"github.com/fulmarloft/fulmarloft/internal/testbed/load"
	"github.com/fulmarloft/fulmarloft/internal/testbed/loadstats"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
)

// timeoutMS is how long, by the fake clock, a command waits before it fails, and the longest duration of a load.
const timeoutMS = 60_000

// scenario is the state of one script.
type scenario struct {
	ts     *testscript.TestScript
	ck     *clock.Clock
	driver *clockdriver.Driver
	fl     *local.Fleet
	hc     *http.Client
	last   *callResult

	version uint64
	issued  string

	loadGroup sync.WaitGroup
	cancel    context.CancelFunc
	tallies   []*loadstats.Tally
}

// callResult is the response to the last call or publish command; code is -1 if no complete response was received.
type callResult struct {
	code    int
	outcome string
	id      string
	body    string
}

type scenarioKey struct{}

// TestScenarios runs the scripts in testdata, each against a local fleet of its own.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    command((*scenario).fleet),
			"load":     command((*scenario).loadCommand),
			"platform": command((*scenario).platform),
			"answer":   command((*scenario).answer),
			"zone":     command((*scenario).zone),
			"entry":    command((*scenario).entry),
			"endpoint": command((*scenario).endpoint),
			"call":     command((*scenario).call),
			"advance":  command((*scenario).advance),
			"key":      command((*scenario).key),
			"bundle":   command((*scenario).bundle),
			"job":      command((*scenario).job),
			"worker":   command((*scenario).worker),
			"wave":     command((*scenario).wave),
			"vm":       command((*scenario).vm),
			"expect":   command((*scenario).expect),
			"issue":    command((*scenario).issue),
		},
	})
}

func setup(env *testscript.Env) error {
	sc := &scenario{ck: clock.NewFake(1_000_000), hc: &http.Client{Transport: &http.Transport{}}}
	driver, err := clockdriver.New(sc.ck)
	if err != nil {
		return err
	}
	sc.driver = driver
	env.Values[scenarioKey{}] = sc
	env.Defer(sc.stop)
	return nil
}

func (sc *scenario) stop() {
	sc.stopLoad()
	if sc.fl != nil {
		sc.fl.Stop()
	}
	sc.driver.Stop()
	sc.hc.CloseIdleConnections()
}

func command(fn func(*scenario, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("commands can't be negated")
		}
		sc, ok := ts.Value(scenarioKey{}).(*scenario)
		if !ok {
			ts.Fatalf("script has no scenario state")
		}
		sc.ts = ts
		fn(sc, args)
	}
}

// fleet runs the command "fleet start USER", which starts a fleet sized for that user.
func (sc *scenario) fleet(args []string) {
	sc.requireArgs(args, 2, "fleet start USER")
	fl, err := local.New(sc.ck, sc.logWriter(), args[1])
	sc.check(err)
	sc.fl = fl
	sc.check(fl.Start(context.Background()))
	sc.waitUntil("the fleet is ready", fl.Ready)
}

// loadCommand runs the commands "load start SERVICE PER-SECOND TEAM..." and "load stop".
func (sc *scenario) loadCommand(args []string) {
	if args[0] == "stop" {
		sc.stopLoad()
		return
	}
	sc.requireArgs(args, 4, "load start SERVICE PER-SECOND TEAM...")
	ctx, cancel := context.WithCancel(context.Background())
	sc.cancel = cancel
	gn := load.New(sc.ck, 1, sc.fl.Targets)
	for _, team := range args[3:] {
		gn.Add(team, sc.fl.Secret(team), args[1], sc.parseNumber(args[2]), 64)
	}
	sc.loadGroup.Go(func() {
		defer gn.Close()
		sc.tallies = gn.Run(ctx, timeoutMS)
	})
}

func (sc *scenario) stopLoad() {
	if sc.cancel != nil {
		sc.cancel()
		sc.loadGroup.Wait()
	}
}

// platform runs the command "platform down|up".
func (sc *scenario) platform(args []string) {
	sc.requireArgs(args, 1, "platform down|up")
	sc.fl.Platform().SetDown(args[0] == "down")
}

// answer runs the command "answer lose COUNT", which makes the platform lose that many answers.
func (sc *scenario) answer(args []string) {
	sc.requireArgs(args, 2, "answer lose COUNT")
	sc.fl.Platform().LoseAnswers(int(sc.parseNumber(args[1])))
}

// zone runs the command "zone cut|join ZONE".
func (sc *scenario) zone(args []string) {
	sc.requireArgs(args, 2, "zone cut|join ZONE")
	sc.fl.CutZone(args[1], args[0] == "cut")
}

// entry runs the command "entry replace|lose|kill NAME".
func (sc *scenario) entry(args []string) {
	sc.requireArgs(args, 2, "entry replace|lose|kill NAME")
	switch args[0] {
	case "replace":
		sc.check(sc.fl.ReplaceEntry(context.Background(), args[1]))
	case "lose":
		sc.check(sc.fl.KillAndReplaceEntry(args[1]))
	case "kill":
		sc.check(sc.fl.KillEntry(args[1]))
	default:
		sc.ts.Fatalf("unknown command: entry %s", args[0])
	}
}

// endpoint runs the command "endpoint fail|half|wrong-id|drop|heal|silence|slow NAME [FACTOR]"; slow multiplies the run times by the factor, or by slowFactor without one.
func (sc *scenario) endpoint(args []string) {
	sc.requireArgs(args, 2, "endpoint fail|half|wrong-id|drop|heal|silence|slow NAME [FACTOR]")
	mode := args[0]
	if mode == "silence" {
		if sc.fl.Endpoint(args[1]).DropData() == 0 {
			sc.ts.Fatalf("no open connection at %s that could drop data", args[1])
		}
		return
	}
	if mode == "slow" {
		factor := int64(slowFactor)
		if len(args) > 2 {
			factor = int64(sc.parseNumber(args[2]))
		}
		sc.fl.Endpoint(args[1]).SetSlow(factor)
		return
	}
	if mode == "heal" {
		mode = ""
	}
	sc.fl.Endpoint(args[1]).SetMode(mode)
}

// call runs the command "call TEAM SERVICE [entry=NAME] [id=ID]"; with "-" as the team it sends no key.
func (sc *scenario) call(args []string) {
	sc.requireArgs(args, 2, "call TEAM SERVICE [entry=NAME] [id=ID]")
	sc.last = sc.sendCall(args[0], args[1], parseOptions(args[2:]))
}

func (sc *scenario) sendCall(team, service string, opts map[string]string) *callResult {
	target := sc.fl.Targets()[0]
	if name := opts["entry"]; name != "" {
		target = sc.fl.Entry(name).CallerAddress()
	}
	rq, err := http.NewRequest(http.MethodPost, "http://"+target+"/call/"+service, strings.NewReader("body"))
	sc.check(err)
	if team != "-" {
		rq.Header.Set("fulmarloft-key", sc.fl.Secret(team))
	}
	if id := opts["id"]; id != "" {
		if id == "issued" {
			id = sc.issued
		}
		rq.Header.Set("fulmarloft-request-id", id)
	}
	res, err := sc.hc.Do(rq)
	if err != nil {
		return &callResult{code: -1, outcome: "unknown"}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return &callResult{code: -1, outcome: "unknown"}
	}
	cd, _ := strconv.Atoi(res.Header.Get("fulmarloft-code"))
	return &callResult{cd, res.Header.Get("fulmarloft-outcome"), res.Header.Get("fulmarloft-request-id"), string(raw)}
}

// advance runs the command "advance MS", which waits until the fake clock has advanced by that time.
func (sc *scenario) advance(args []string) {
	sc.requireArgs(args, 1, "advance MS")
	sc.check(sc.ck.Sleep(context.Background(), int64(sc.parseNumber(args[0]))))
}

// parseOptions returns the arguments of the form name=value.
func parseOptions(args []string) map[string]string {
	opts := map[string]string{}
	for _, arg := range args {
		name, val, _ := strings.Cut(arg, "=")
		opts[name] = val
	}
	return opts
}
