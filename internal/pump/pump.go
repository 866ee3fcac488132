package pump

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Pump advances one fake clock until it is stopped; between two steps an exchange over loopback ends, so that a busy machine slows the clock.
type Pump struct {
	ck   *clock.Clock
	ls   net.Listener
	srv  *http.Server
	hc   *http.Client
	stop chan struct{}
	done sync.WaitGroup
}

const (
	stepMS           = 2
	exchangesPerStep = 3
	stepInterval     = time.Millisecond
)

// New starts a pump that moves the clock by two milliseconds at most once a millisecond.
func New(ck *clock.Clock) (*Pump, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	pm := &Pump{ck: ck, ls: ls, hc: &http.Client{Transport: &http.Transport{}}, stop: make(chan struct{})}
	pm.srv = &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })}
	pm.done.Go(func() { _ = pm.srv.Serve(ls) })
	pm.done.Go(pm.run)
	return pm, nil
}

// Stop ends the pump and waits for its last step.
func (pm *Pump) Stop() {
	close(pm.stop)
	_ = pm.srv.Close()
	pm.done.Wait()
	pm.hc.CloseIdleConnections()
}

func (pm *Pump) run() {
	tk := time.NewTicker(stepInterval)
	defer tk.Stop()
	for {
		select {
		case <-pm.stop:
			return
		case <-tk.C:
			pm.exchangeOverLoopback()
			pm.ck.Advance(stepMS)
		}
	}
}

// exchange waits for as many answers over loopback as a step of the clock is to leave room for.
func (pm *Pump) exchangeOverLoopback() {
	for range exchangesPerStep {
		res, err := pm.hc.Get("http://" + pm.ls.Addr().String())
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
