package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case in a world and returns what broke the rule, empty if it held; an error means that the case couldn't run.
type play struct {
	minions, entries int
	// cpu is the size of each minion in thousandths of a core.
	cpu int64
	run func(wd *world) (string, error)
}

var plays = map[string]play{
	"pace":    {3, 2, 8000, playPace},
	"cancel":  {4, 3, 8000, playCancel},
	"backlog": {9, 3, 32_000, playBacklog},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, program, record string) int {
	pl, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case: "+name)
		return exitNotRun
	}
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	wd, err := newWorld(program, seed, pl)
	if wd != nil && len(wd.entries) > 0 {
		defer wd.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run: "+err.Error())
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		wd.close()
		os.Exit(exitNotRun)
	}()
	broken, err := pl.run(wd)
	code, verdict := exitHeld, "HELD"
	switch {
	case err != nil:
		code, verdict = exitNotRun, "NOT RUN: "+err.Error()
	case broken != "":
		code, verdict = exitBroken, "BROKEN: "+broken
	}
	fmt.Println(verdict)
	if err := wd.record(record, verdict); err != nil {
		fmt.Fprintln(os.Stderr, "cannot write the record: "+err.Error())
		return exitNotRun
	}
	return code
}
