package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// command is a registered subcommand; run is called if the command line selects it.
type command struct {
	name string
	run  func() error
}

func main() {
	app := kingpin.New("fulmarloft", "Fleet capacity and maintenance manager.")
	app.HelpFlag.Short('h')
	var cmds []command
	for _, add := range []func(*kingpin.Application) []command{
		entryCommands,
		standInCommands,
		callCommands,
		tryCommands,
		loadCommands,
		compareCommands,
		fleetCommands,
		jobCommands,
		bundleCommands,
		keyCommands,
		operatorCommands,
		platformCommands,
		soakCommands,
		explainCommands,
		settingsCommands,
		statusCommands,
	} {
		cmds = append(cmds, add(app)...)
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, cm := range cmds {
		if cm.name == name {
			exit(cm.run())
		}
	}
}

func exit(err error) {
	cd := code.Of(err)
	if err != nil {
		fmt.Fprintf(os.Stderr, "code=%d name=%s error=%q\n", int(cd), cd, err)
	}
	os.Exit(exitStatus(cd))
}

const (
	statusFailed     = 1
	statusNotFound   = 2
	statusUnreadable = 3
)

// exitStatus returns the exit status of a command that ended with a code.
func exitStatus(cd code.Code) int {
	switch cd {
	case code.OK:
		return 0
	case code.IDUnlogged:
		return statusNotFound
	case code.FileUnreadable:
		return statusUnreadable
	default:
		return statusFailed
	}
}
