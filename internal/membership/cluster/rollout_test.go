package cluster_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/cluster"
	"github.com/fulmarloft/fulmarloft/internal/membership/peer"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const idleTimeoutMS = 30_000

// loopbackCluster is several agents in this process that call each other by DRPC over loopback connections.
type loopbackCluster struct {
	ck      *clock.Clock
	tb      *memtable.Table
	rg      *metric.Registry
	agents  []*cluster.Agent
	mu      sync.Mutex
	objects map[string][]byte
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func newLoopbackCluster(b *testing.B, entries, zones int) *loopbackCluster {
	lb := &loopbackCluster{ck: clock.New(), tb: memtable.New(), rg: metric.New(), objects: map[string][]byte{}}
	ctx, cancel := context.WithCancel(context.Background())
	lb.cancel = cancel
	b.Cleanup(func() {
		cancel()
		lb.done.Wait()
	})
	for i := range entries {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)
		pr := peer.New(lb.ck, nil, nil, lb.rg)
		name := fmt.Sprintf("entry-%d", i)
		self := &configpb.Member{Name: name, Incarnation: name + ".1f2e3d4c", Zone: fmt.Sprintf("zone-%d", i%zones), PeerAddress: ls.Addr().String()}
		dial := func(mb *configpb.Member) configpb.DRPCConfigClient {
			return configpb.NewDRPCConfigClient(pr.ConnWithIdleTimeout(mb.GetPeerAddress(), idleTimeoutMS))
		}
		ag := cluster.New(lb.ck, self, lb.tb.Client(name), lb.put, lb.get, dial, func(_, _ *bundle.Bundle) error { return nil })
		ag.SetForEach(cluster.Parallel)
		qt.Assert(b, configpb.DRPCRegisterConfig(pr.Mux(), ag), qt.IsNil)
		lb.agents = append(lb.agents, ag)
		lb.done.Go(func() { _ = pr.Serve(ctx, ls) })
		lb.done.Go(func() { _ = ag.Run(ctx, nil) })
	}
	return lb
}

func (lb *loopbackCluster) put(_ context.Context, name string, content []byte) error {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.objects[name] = content
	return nil
}

func (lb *loopbackCluster) get(_ context.Context, name string) ([]byte, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if raw, ok := lb.objects[name]; ok {
		return raw, nil
	}
	return nil, code.StoreUnavailable
}

func (lb *loopbackCluster) waitUntil(ok func(ag *cluster.Agent) bool) {
	for _, ag := range lb.agents {
		for !ok(ag) {
			_ = lb.ck.Sleep(context.Background(), 1)
		}
	}
}

func cpuMS() float64 {
	ru := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return float64(ru.Utime.Nano()+ru.Stime.Nano()) / 1e6
}

// BenchmarkRollOut measures the load of an idle cluster, the time from a publish until all entries hold the version and until it is accepted, and the load while the table is down.
func BenchmarkRollOut(b *testing.B) {
	for _, tc := range []struct{ entries, zones, pools, keys, lease int }{
		{8, 3, 6, 20, 4000},
		{28, 10, 100, 160, 4000},
		{84, 28, 306, 500, 4000},
		{84, 28, 306, 500, 12000},
		{8, 3, 306, 500, 4000},
	} {
		b.Run(fmt.Sprintf("entries=%d/zones=%d/pools=%d/keys=%d/lease-ms=%d", tc.entries, tc.zones, tc.pools, tc.keys, tc.lease), func(b *testing.B) {
			lb := newLoopbackCluster(b, tc.entries, tc.zones)
			text := bundletest.Text(1, 1, min(79, tc.keys), tc.pools, tc.keys)
			text = strings.Replace(text, fmt.Sprintf("config-lease-ms: %d", bundletest.LeaseMS), fmt.Sprintf("config-lease-ms: %d", tc.lease), 1)
			_, err := lb.agents[0].Publish(context.Background(), "first", []byte(text), bundletest.Sign(text, 0))
			qt.Assert(b, err, qt.IsNil)
			lb.waitUntil(func(ag *cluster.Agent) bool { return ag.AllowsKeyedWork() && len(ag.Members()) == tc.entries })
			_ = lb.ck.Sleep(context.Background(), 8000)
			idle := lb.measureIdle()
			lb.measureRollouts(b, text, tc.keys)
			lb.measureTableDown(b)
			for unit, value := range idle {
				b.ReportMetric(value, unit)
			}
		})
	}
}

// measureIdle returns the table reads, network traffic, CPU time and memory of each entry while nothing changes.
func (lb *loopbackCluster) measureIdle() map[string]float64 {
	const (
		idleMS  = 10_000
		idleSec = idleMS / 1000
	)
	_, reads := lb.tb.Counts()
	sent, used := lb.rg.Counter("peer", "bytes-sent"), cpuMS()
	_ = lb.ck.Sleep(context.Background(), idleMS)
	writesNow, readsNow := lb.tb.Counts()
	entrySeconds := float64(len(lb.agents)) * idleSec
	sentNow, usedNow := lb.rg.Counter("peer", "bytes-sent"), cpuMS()
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return map[string]float64{
		"reads/s/entry":     float64(readsNow-reads) / entrySeconds,
		"sent-B/s/entry":    float64(sentNow-sent) / entrySeconds,
		"idle-core-%/entry": (usedNow - used) / entrySeconds / 10,
		"writes-to-start":   float64(writesNow),
		"heap-KB/entry":     float64(ms.HeapAlloc) / float64(len(lb.agents)) / 1024,
	}
}

// measureTableDown reports the traffic and CPU time of the entries while they renew their leases by votes, and how many still allow keyed work.
func (lb *loopbackCluster) measureTableDown(b *testing.B) {
	const (
		settleMS = 5000
		downMS   = 12_000
	)
	lb.tb.SetFaults(func(string, bool) error { return code.TableUnavailable }, nil)
	_ = lb.ck.Sleep(context.Background(), settleMS)
	sent, used := lb.rg.Counter("peer", "bytes-sent"), cpuMS()
	_ = lb.ck.Sleep(context.Background(), downMS)
	entrySeconds := float64(len(lb.agents)) * downMS / 1000
	b.ReportMetric(float64(lb.rg.Counter("peer", "bytes-sent")-sent)/entrySeconds, "down-sent-B/s/entry")
	b.ReportMetric((cpuMS()-used)/entrySeconds/10, "down-core-%/entry")
	keyed := 0
	for _, ag := range lb.agents {
		if ag.AllowsKeyedWork() {
			keyed++
		}
	}
	b.ReportMetric(float64(keyed), "down-keyed-entries")
}

func (lb *loopbackCluster) measureRollouts(b *testing.B, text string, keys int) {
	var held, accepted []int64
	sent, used := lb.rg.Counter("peer", "bytes-sent"), cpuMS()
	count := 0
	for b.Loop() {
		text = bundletest.Withdraw(bundletest.Next(text), count%keys)
		count++
		from := lb.agents[count%len(lb.agents)]
		start := lb.ck.Now()
		op, err := from.Publish(context.Background(), fmt.Sprintf("op-%d", count), []byte(text), bundletest.Sign(text, 0))
		qt.Assert(b, err, qt.IsNil)
		lb.waitUntil(func(ag *cluster.Agent) bool { return ag.Bundle().Version() >= op.GetVersion() })
		held = append(held, lb.ck.Now()-start)
		for from.Accepted() < op.GetVersion() {
			_ = lb.ck.Sleep(context.Background(), 1)
		}
		accepted = append(accepted, lb.ck.Now()-start)
	}
	changes := float64(count * len(lb.agents))
	b.ReportMetric(float64(lb.rg.Counter("peer", "bytes-sent")-sent)/changes, "sent-B/change/entry")
	b.ReportMetric((cpuMS()-used)/changes, "cpu-ms/change/entry")
	b.ReportMetric(quantile(held, 50), "held-p50-ms")
	b.ReportMetric(quantile(held, 99), "held-p99-ms")
	b.ReportMetric(quantile(accepted, 50), "accepted-p50-ms")
	b.ReportMetric(quantile(accepted, 99), "accepted-p99-ms")
}

func quantile(list []int64, percent int) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return float64(sorted[min(len(sorted)-1, len(sorted)*percent/100)])
}
