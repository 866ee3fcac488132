package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/settings"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/platform/boot"
)

const settingsCheckHelp = `Check a settings file without starting a process, and say file, line and what was expected if it is invalid.

Example: fulmarloft settings check examples/entry-1.yaml

Both formats are known: that of own entries and that of the users' platform. Exit status: 0 if the file is valid, 1 if not, 3 if it can't be read.`

func settingsCommands(app *kingpin.Application) []command {
	parent := app.Command("settings", "Settings files.")
	cm := parent.Command("check", settingsCheckHelp)
	file := cm.Arg("file", "Settings file (YAML).").Required().String()
	return []command{{cm.FullCommand(), func() error { return runSettingsCheck(*file) }}}
}

func runSettingsCheck(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return code.FileUnreadable.Wrap(err)
	}
	format, err := checkSettings(raw)
	if err != nil {
		return code.Of(err).New("%s (%s): %w", file, format, err)
	}
	fmt.Printf("%s: valid (%s)\n", file, format)
	return nil
}

// checkSettings checks settings in the format that they have the form of, and names it.
func checkSettings(raw []byte) (format string, err error) {
	if boot.IsSettings(raw) {
		return "settings of a platform entry", boot.Check(raw)
	}
	_, err = settings.Parse(raw)
	return "settings of an own entry", err
}
