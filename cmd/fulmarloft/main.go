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
	if err == nil {
		os.Exit(0)
	}
	cd := code.Of(err)
	fmt.Fprintf(os.Stderr, "code=%d name=%s error=%q\n", int(cd), cd, err)
	os.Exit(1)
}
