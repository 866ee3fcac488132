package baseline_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/baseline"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
)

const (
	bodyBytes         = 256
	team              = "bratislava"
	nonIdempotentSvc  = "replies"
	idempotentSvc     = "gallery"
	callers           = 32
	poolSize          = 30
	requestsPerSecond = 2000
	sliceMS           = 200
	// roundRequests is the number of requests that BenchmarkProcessorRatio sends by one route before it switches to the next.
	roundRequests = 4000
)

// rig holds an entry and a forwarder in the same process and in front of the same endpoints.
type rig struct {
	fl  *local.Fleet
	srv *http.Server
	// routes maps the name of each route to the endpoints to its URL; the "path" routes lead through the entry.
	routes map[string]string
	hc     *http.Client
	// endpoints holds the URLs of the endpoints; the direct route uses them round-robin.
	endpoints []string
}

func newRig(tb testing.TB) *rig {
	ck := clock.New()
	fl, err := local.New(ck, io.Discard, "bench")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(fl.Stop)
	if err := fl.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	for !fl.Ready() {
		_ = ck.Sleep(context.Background(), 5)
	}
	rg := &rig{fl: fl, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * callers}}}
	var addresses []string
	for i := range poolSize {
		addresses = append(addresses, fl.Endpoint(fmt.Sprintf("%s-pool-%d", nonIdempotentSvc, i+1)).Address())
	}
	fw := baseline.New(addresses...)
	rg.srv = &http.Server{Handler: fw}
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = rg.srv.Serve(ls) }()
	tb.Cleanup(func() {
		_ = rg.srv.Close()
		fw.Close()
		rg.hc.CloseIdleConnections()
	})
	for _, address := range addresses {
		rg.endpoints = append(rg.endpoints, "http://"+address+"/")
	}
	entry := fl.Entries()[0].CallerAddress()
	rg.routes = map[string]string{
		"baseline":        "http://" + ls.Addr().String() + "/",
		"path":            "http://" + entry + "/call/" + nonIdempotentSvc,
		"path-idempotent": "http://" + entry + "/call/" + idempotentSvc,
	}
	return rg
}

func (rg *rig) send(route string, body []byte, id int) error {
	target := rg.routes[route]
	if route == "direct" {
		target = rg.endpoints[id%len(rg.endpoints)]
	}
	rq, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("Fulmarloft-Key", rg.fl.Secret(team))
	if route == "direct" || route == "baseline" {
		rq.Header.Set("Fulmarloft-Request-Id", fmt.Sprint(route, id))
	}
	res, err := rg.hc.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || len(raw) != bodyBytes) {
		err = fmt.Errorf("%s: status %d, %d bytes, code %s", route, res.StatusCode, len(raw), res.Header.Get("fulmarloft-code"))
	}
	return err
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// run sends the given number of requests by one route from all callers and returns the CPU time used by the whole process.
func (rg *rig) run(b *testing.B, route string, requests int) time.Duration {
	body := make([]byte, bodyBytes)
	before := cpuTime()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := i; j < requests; j += callers {
				if err := rg.send(route, body, j); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	return cpuTime() - before
}

// BenchmarkProcessorTime reports allocations and CPU time per request of the whole process, which comprises the caller, the route and the endpoint.
func BenchmarkProcessorTime(b *testing.B) {
	rg := newRig(b)
	for _, route := range []string{"direct", "baseline", "path", "path-idempotent"} {
		b.Run(route, func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(rg.run(b, route, b.N))/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkProcessorRatio reports the CPU time per request of each route and the ratio of the path to the baseline, both as measured and after subtracting the direct route, which is the cost of the caller and the endpoint alone. It alternates between the routes, so that other load on the machine affects all of them equally.
func BenchmarkProcessorRatio(b *testing.B) {
	rg := newRig(b)
	routes := []string{"direct", "baseline", "path"}
	sums := map[string]float64{}
	rounds := 0
	for b.Loop() {
		rounds++
		for _, route := range routes {
			sums[route] += float64(rg.run(b, route, roundRequests)) / roundRequests
		}
	}
	for _, route := range routes {
		b.ReportMetric(sums[route]/float64(rounds), route+"-cpu-ns")
	}
	b.ReportMetric(sums["path"]/sums["baseline"], "ratio")
	b.ReportMetric((sums["path"]-sums["direct"])/(sums["baseline"]-sums["direct"]), "net-ratio")
}

// histogram is a latency distribution in microseconds that is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	hg *hdrhistogram.Histogram
}

func newHistogram() *histogram { return &histogram{hg: hdrhistogram.New(1, 60_000_000, 3)} }

func (hi *histogram) add(took time.Duration) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	_ = hi.hg.RecordValue(took.Microseconds())
}

// sendOpenLoop sends requests by one route at requestsPerSecond for sliceMS, whether or not earlier ones were answered. Latencies count from the intended time of sending.
func (rg *rig) sendOpenLoop(b *testing.B, route string, first int, hi *histogram) {
	var wg sync.WaitGroup
	body := make([]byte, bodyBytes)
	start := time.Now()
	for i := range requestsPerSecond * sliceMS / 1000 {
		intended := start.Add(time.Duration(i) * time.Second / requestsPerSecond)
		time.Sleep(time.Until(intended))
		wg.Go(func() {
			if err := rg.send(route, body, first+i); err != nil {
				b.Error(err)
			}
			hi.add(time.Since(intended))
		})
	}
	wg.Wait()
}

// BenchmarkAddedLatency reports the latency percentiles of the path and the baseline. It alternates between them every sliceMS, so that other load on the machine affects both equally.
func BenchmarkAddedLatency(b *testing.B) {
	rg := newRig(b)
	routes := []string{"baseline", "path"}
	hists := []*histogram{newHistogram(), newHistogram()}
	id := 0
	for b.Loop() {
		for i, route := range routes {
			rg.sendOpenLoop(b, route, id, hists[i])
			id += requestsPerSecond
		}
	}
	for i, route := range routes {
		b.ReportMetric(float64(hists[i].hg.ValueAtQuantile(50)), route+"-p50-us")
		b.ReportMetric(float64(hists[i].hg.ValueAtQuantile(99)), route+"-p99-us")
	}
}
