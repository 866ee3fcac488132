package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/settings"
)

func entryCommands(app *kingpin.Application) []command {
	cm := app.Command("entry", "Run one entry process until SIGTERM, then drain it.")
	file := cm.Flag("settings", "Settings file (YAML).").Required().String()
	return []command{{cm.FullCommand(), func() error { return runEntry(*file) }}}
}

func runEntry(file string) error {
	st, err := settings.Load(file)
	if err != nil {
		return err
	}
	en := entry.New(st, clock.New(), event.New(os.Stderr))
	if err := en.Start(); err != nil {
		return err
	}
	waitForSignal()
	en.Stop(context.Background())
	return nil
}

func waitForSignal() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	<-ch
}
