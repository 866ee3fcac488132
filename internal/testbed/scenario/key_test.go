package scenario

import (
	"context"
	"slices"
	"strconv"

	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// key runs the command "key withdraw TEAM [entry=NAME] [operation=ID]"; "expect code" checks the code of the response.
func (sc *scenario) key(args []string) {
	sc.requireArgs(args, 2, "key withdraw TEAM [entry=NAME] [operation=ID]")
	opts := parseOptions(args[2:])
	sc.recordPublished(sc.fl.WithdrawKey(context.Background(), sc.entryOrFirst(opts["entry"]), sc.operationID(opts), args[1]))
}

// bundle runs the command "bundle publish [entry=NAME] [operation=ID]", which publishes the entry's bundle under the next version.
func (sc *scenario) bundle(args []string) {
	sc.requireArgs(args, 1, "bundle publish [entry=NAME] [operation=ID]")
	opts := parseOptions(args[1:])
	unchanged := func(bd *bundle.Bundle) (*bundle.Bundle, error) { return bd, nil }
	sc.recordPublished(sc.fl.Publish(context.Background(), sc.entryOrFirst(opts["entry"]), sc.operationID(opts), unchanged))
}

// recordPublished keeps the code of a publish call for "expect code", and the version if it was committed.
func (sc *scenario) recordPublished(version uint64, cd code.Code, err error) {
	sc.check(err)
	if cd == code.OK || cd == code.NotYetInForce {
		sc.version = version
	}
	sc.last = &callResult{code: int(cd)}
}

func (sc *scenario) operationID(opts map[string]string) string {
	if id := opts["operation"]; id != "" {
		return id
	}
	return "operation-" + strconv.FormatInt(sc.ck.Now(), 10)
}

// entryOrFirst returns an entry by name, or the first one if the name is empty.
func (sc *scenario) entryOrFirst(name string) *entry.Entry {
	if name == "" {
		return sc.fl.Entries()[0]
	}
	en := sc.fl.Entry(name)
	if en == nil {
		sc.ts.Fatalf("entry %s does not run", name)
	}
	return en
}

// expectAccepted waits until an entry reports the last published version as accepted: expect accepted [entry=NAME].
func (sc *scenario) expectAccepted(args []string) {
	en := sc.entryOrFirst(parseOptions(args)["entry"])
	sc.waitUntil("version "+strconv.FormatUint(sc.version, 10)+" accepted", func() bool {
		got, err := sc.fl.Accepted(context.Background(), en)
		return err == nil && got >= sc.version
	})
}

// expectPending checks that an entry doesn't report the last published version as accepted yet: expect pending [entry=NAME].
func (sc *scenario) expectPending(args []string) {
	got, err := sc.fl.Accepted(context.Background(), sc.entryOrFirst(parseOptions(args)["entry"]))
	sc.check(err)
	if got >= sc.version {
		sc.ts.Fatalf("version %d is already reported as accepted", sc.version)
	}
}

// expectDead checks that every entry rejects the team's withdrawn key, also one that is cut off: expect dead TEAM SERVICE.
func (sc *scenario) expectDead(args []string) {
	refusals := []code.Code{code.KeyWithdrawn, code.KeyUnknown, code.KeyedWorkPaused}
	for _, en := range sc.fl.Entries() {
		got := sc.sendCall(args[0], args[1], map[string]string{"entry": en.Name()})
		if !slices.Contains(refusals, code.Code(got.code)) {
			sc.ts.Fatalf("%s accepts the withdrawn key of %s: code %d", en.Name(), args[0], got.code)
		}
	}
}

// expectVersion waits until every entry holds the last published version: expect version everywhere.
func (sc *scenario) expectVersion([]string) {
	sc.waitUntil("version "+strconv.FormatUint(sc.version, 10)+" everywhere", func() bool {
		return !slices.ContainsFunc(sc.fl.Entries(), func(en *entry.Entry) bool {
			return en.Bundle() == nil || en.Bundle().Version() < sc.version
		})
	})
}

// expectSettled waits until every entry lists all others and has no unsettled roster: expect settled.
func (sc *scenario) expectSettled([]string) {
	sc.waitUntil("rosters settled", func() bool {
		return !slices.ContainsFunc(sc.fl.Entries(), func(en *entry.Entry) bool { return !sc.fl.Settled(context.Background(), en) })
	})
}
