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
	watchSignals(stop, func() { reloadSettings(lg) })
	return edge.New(st, ck, lg).Run(stop)
}

// watchSignals closes stop on SIGTERM or SIGINT, and calls reload on SIGHUP. Each kind has its own channel: signals that come while reload runs must not take the place of the one that stops the process.
func watchSignals(stop chan<- struct{}, reload func()) {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		<-ends
		close(stop)
	}()
	go func() {
		for range reloads {
			reload()
		}
	}()
}

// reloadSettings validates the settings file; changed settings take effect at the next start.
func reloadSettings(lg *event.Log) {
	if _, err := boot.Load(os.Getenv(boot.PathVariable)); err != nil {
		lg.Fail("settings-refused", err)
		return
	}
	lg.Info("settings-checked")
}
