package local_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
)

const (
	nonIdempotentService = "replies"
	keyedTeam            = "bratislava"
)

func startSmall(t *testing.T) (*clock.Clock, *local.Fleet) {
	ctx := context.Background()
	ck := clock.New()
	fl, err := local.New(ck, io.Discard, "small")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(fl.Stop)
	qt.Assert(t, fl.Start(ctx), qt.IsNil)
	for !fl.Ready() {
		qt.Assert(t, ck.Sleep(ctx, 5), qt.IsNil)
	}
	return ck, fl
}

// send sends one request. It returns the outcome header and whether the response asks to close the connection, or an error if the request or its response was cut off.
func send(hc *http.Client, address, secret string) (outcome string, closing bool, err error) {
	body := []byte("whole body")
	rq, err := http.NewRequest(http.MethodPost, "http://"+address+"/call/"+nonIdempotentService, bytes.NewReader(body))
	if err != nil {
		return "", false, err
	}
	rq.Header.Set("fulmarloft-key", secret)
	res, err := hc.Do(rq)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.Header.Get("fulmarloft-outcome") == "answered" && !bytes.Equal(raw, body) {
		err = errors.New("response body differs from the request body although its outcome is answered")
	}
	return res.Header.Get("fulmarloft-outcome"), res.Close, err
}

// TestDrainCutsOffNothing guards against requests that are cut off while an entry drains: callers go on sending
// for some requests after the entry has asked them to close, or until it stops listening.
func TestDrainCutsOffNothing(t *testing.T) {
	const callers, more = 8, 20
	_, fl := startSmall(t)
	en := fl.Entry("entry-1")
	address := en.CallerAddress()
	var warm, done sync.WaitGroup
	var answered, afterClosing atomic.Int64
	warm.Add(callers)
	for range callers {
		done.Go(func() {
			hc := &http.Client{Transport: &http.Transport{}}
			defer hc.CloseIdleConnections()
			seenClosing := 0
			for sent := 0; seenClosing < more; sent++ {
				if sent == 3 {
					warm.Done()
				}
				outcome, closing, err := send(hc, address, fl.Secret(keyedTeam))
				var op *net.OpError
				if errors.As(err, &op) && op.Op == "dial" {
					return
				}
				qt.Check(t, err, qt.IsNil)
				if outcome == "answered" {
					answered.Add(1)
				}
				if closing {
					seenClosing++
					afterClosing.Add(1)
				}
			}
		})
	}
	warm.Wait()
	en.Stop(context.Background())
	done.Wait()
	qt.Assert(t, afterClosing.Load() > callers, qt.IsTrue, qt.Commentf("%d responses to %d callers ask to close", afterClosing.Load(), callers))
	qt.Assert(t, fl.Recorder().Total(), qt.Equals, int(answered.Load()))
	qt.Assert(t, fl.Recorder().Repeated(), qt.HasLen, 0)
}

// TestLeavingEndpointGetsNothingWhileTheListLags guards against requests to a VM that is marked as leaving at the entry
// while the platform's VM list, which lags, doesn't show it as leaving yet.
func TestLeavingEndpointGetsNothingWhileTheListLags(t *testing.T) {
	_, fl := startSmall(t)
	en := fl.Entry("entry-1")
	const name = nonIdempotentService + "-pool-1"
	en.MarkLeaving(name + "-boot-0")
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	for range 100 {
		outcome, _, err := send(hc, en.CallerAddress(), fl.Secret(keyedTeam))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, outcome, qt.Equals, "answered")
	}
	qt.Assert(t, fl.Recorder().Peak("vm:"+name), qt.Equals, 0)
	qt.Assert(t, fl.Recorder().Peak("vm:"+nonIdempotentService+"-pool-2") > 0, qt.IsTrue)
}
