package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stopTimeout is how long a process may take to notice a signal that it has been sent.
const stopTimeout = 10 * time.Second

// A SIGTERM that came right after several SIGHUPs was lost, since they shared a channel with room for one: the process must stop, also while it still handles the first of them.
func TestSIGTERMAfterSIGHUPsStopsTheProcess(t *testing.T) {
	begun, release := make(chan struct{}, 8), make(chan struct{})
	defer close(release)
	stop := make(chan struct{})
	watchSignals(stop, func() {
		begun <- struct{}{}
		<-release
	})
	delivered := make(chan os.Signal, 8)
	signal.Notify(delivered, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(delivered)
	send := func(sig syscall.Signal) {
		qt.Assert(t, syscall.Kill(os.Getpid(), sig), qt.IsNil)
		// A signal that is sent again before it was delivered is delivered once.
		<-delivered
	}
	send(syscall.SIGHUP)
	<-begun
	send(syscall.SIGHUP)
	send(syscall.SIGHUP)
	send(syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(stopTimeout):
		t.Fatal("SIGTERM was lost")
	}
}
