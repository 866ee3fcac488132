package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/try"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func tryCommands(app *kingpin.Application) []command {
	cm := app.Command("try", "Run a small fleet of stand-ins and entries under load and faults and report violated guarantees.")
	kowhai := cm.Flag("kowhai", "Run with the fleet size of Kowhai Dial Labs.").Bool()
	_ = cm.Flag("porotca", "Run with the fleet size of Porotca Digital (default).").Bool()
	asJSON := cm.Flag("json", "Print the report as JSON.").Bool()
	logs := cm.Flag("log", "File for the log events of all components.").String()
	return []command{{cm.FullCommand(), func() error { return runTry(*kowhai, *asJSON, *logs) }}}
}

func runTry(kowhai, asJSON bool, logs string) error {
	user := "porotca"
	if kowhai {
		user = "kowhai"
	}
	out, err := logWriter(logs)
	if err != nil {
		return err
	}
	tr, err := try.New(clock.New(), progressWriter(), out, user)
	if err != nil {
		return err
	}
	rp, err := tr.Run(context.Background())
	if err != nil {
		return err
	}
	if asJSON {
		err = rp.WriteJSON(os.Stdout)
	} else {
		rp.WriteText(os.Stdout)
	}
	if err == nil && !rp.Passed() {
		err = code.Internal.New("%d guarantees violated", len(rp.Violations()))
	}
	return err
}

func logWriter(file string) (io.Writer, error) {
	if file == "" {
		return io.Discard, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	return out, nil
}

// progressWriter returns stderr if it is a terminal, otherwise a writer that discards.
func progressWriter() io.Writer {
	if st, err := os.Stderr.Stat(); err == nil && st.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return io.Discard
}
