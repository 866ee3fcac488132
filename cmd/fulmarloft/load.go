package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/loadplan"
	"github.com/fulmarloft/fulmarloft/internal/report"
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
	if asJSON {
		return rp.WriteJSON(os.Stdout)
	}
	rp.WriteText(os.Stdout)
	return nil
}
