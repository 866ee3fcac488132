package main

import (
	"context"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/report"
	"github.com/fulmarloft/fulmarloft/internal/testbed/loadplan"
	"github.com/fulmarloft/fulmarloft/internal/testbed/loadstats"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func loadCommands(app *kingpin.Application) []command {
	cm := app.Command("load", "Send open-loop load to running entries and print the results.")
	file := cm.Flag("plan", "Load plan file (YAML).").Required().String()
	asJSON := cm.Flag("json", "Print the results as JSON.").Bool()
	return []command{{cm.FullCommand(), func() error { return runLoad(*file, *asJSON) }}}
}

func runLoad(file string, asJSON bool) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return code.SettingsInvalid.Wrap(err)
	}
	pl, err := loadplan.Parse(raw)
	if err != nil {
		return code.SettingsInvalid.New("%s: %w", file, err)
	}
	gn, err := pl.Generator(clock.New())
	if err != nil {
		return err
	}
	defer gn.Close()
	rp := report.New("load", gn.Run(context.Background(), pl.DurationMS()))
	cause := addUnanswered(rp, gn.Unanswered(), gn.LastError())
	if asJSON {
		err = rp.WriteJSON(os.Stdout)
	} else {
		rp.WriteText(os.Stdout)
	}
	switch {
	case err != nil:
		return err
	case cause != code.OK && !rp.Answered():
		return cause.New("nothing was answered")
	case !rp.Passed():
		return code.Internal.New("%d guarantees violated", len(rp.Violations()))
	case cause != code.OK:
		return cause.New("a stream was never answered")
	}
	return nil
}

// addUnanswered adds the streams without an answer and the reasons to the report, and returns the most frequent reason, OK if every stream was answered.
func addUnanswered(rp *report.Report, unanswered []*loadstats.Tally, lastErr error) code.Code {
	if rp.Answered() && len(unanswered) == 0 {
		return code.OK
	}
	cause, most := code.PeerUnreachable, 0
	counts := map[int]int{}
	for _, tl := range unanswered {
		rp.AddUnanswered(tl.Team())
		for num, count := range tl.Codes() {
			counts[num] += count
		}
	}
	for _, num := range slices.Sorted(maps.Keys(counts)) {
		name, cd := code.Code(num).String(), code.Code(num)
		if num == loadstats.NoCode {
			name, cd = "no complete answer", code.PeerUnreachable
		}
		rp.AddFact(name, strconv.Itoa(counts[num]))
		if counts[num] > most {
			cause, most = cd, counts[num]
		}
	}
	if lastErr != nil {
		rp.AddFact("last error", lastErr.Error())
	}
	return cause
}
