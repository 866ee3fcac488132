package clockdriver

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Driver advances a fake clock in small steps until it is stopped. Before each step it waits for HTTP exchanges over loopback, so that a busy machine slows down the clock.
type Driver struct {
	ck   *clock.Clock
	ls   net.Listener
	srv  *http.Server
	hc   *http.Client
	stop chan struct{}
	done sync.WaitGroup
}

const (
	// stepMS is how far one step moves the clock.
	stepMS           = 2
	exchangesPerStep = 3
	stepInterval     = time.Millisecond
)

// New starts a driver that advances the clock by stepMS at most once per stepInterval.
func New(ck *clock.Clock) (*Driver, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	dr := &Driver{ck: ck, ls: ls, hc: &http.Client{Transport: &http.Transport{}}, stop: make(chan struct{})}
	dr.srv = &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })}
	dr.done.Go(func() { _ = dr.srv.Serve(ls) })
	dr.done.Go(dr.run)
	return dr, nil
}

// Stop stops the driver and waits for its last step to end.
func (dr *Driver) Stop() {
	close(dr.stop)
	_ = dr.srv.Close()
	dr.done.Wait()
	dr.hc.CloseIdleConnections()
}

func (dr *Driver) run() {
	tk := time.NewTicker(stepInterval)
	defer tk.Stop()
	for {
		select {
		case <-dr.stop:
			return
		case <-tk.C:
			dr.exchangeOverLoopback()
			dr.ck.Advance(stepMS)
		}
	}
}

// exchangeOverLoopback waits for as many answers over loopback as should have time to arrive within one step of the clock.
func (dr *Driver) exchangeOverLoopback() {
	for range exchangesPerStep {
		res, err := dr.hc.Get("http://" + dr.ls.Addr().String())
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
