package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/platform/boot"
	"github.com/fulmarloft/fulmarloft/platform/edge"
)

func platformCommands(app *kingpin.Application) []command {
	cm := app.Command("platform-entry", "Run one entry process on the hosting platform until SIGTERM, then drain it. Its settings file is named by the environment variable "+boot.PathVariable+".")
	return []command{{cm.FullCommand(), runPlatformEntry}}
}

func runPlatformEntry() error {
	ck := clock.NewSuspendAware()
	lg := event.NewBounded(os.Stdout, ck)
	st, err := boot.Load(os.Getenv(boot.PathVariable))
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go watchSignals(lg, stop)
	return edge.New(st, ck, lg).Run(stop)
}

// watchSignals closes stop on SIGTERM or SIGINT and validates the settings file on SIGHUP. Changed settings take effect at the next start.
func watchSignals(lg *event.Log, stop chan<- struct{}) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range ch {
		if sig != syscall.SIGHUP {
			close(stop)
			return
		}
		if _, err := boot.Load(os.Getenv(boot.PathVariable)); err != nil {
			lg.Fail("settings-refused", err)
			continue
		}
		lg.Info("settings-checked")
	}
}
