package footprint

import (
	"context"
	"io"
	"runtime"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/cputime"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Footprint is the cost of an idle fleet per entry.
type Footprint struct {
	entries            int
	vms                int
	cpu                float64
	heapKB             float64
	readsPerSecond     float64
	writesPerSecond    float64
	peerBytesPerSecond float64
}

const (
	readyTimeoutMS = 30_000
	pollMS         = 20
	settleMS       = 3000
	usPerMS        = 1000
	msPerSecond    = 1000
	kilobyte       = 1024
)

// New starts a fleet with the given number of entries and of idle VMs, lets it idle for idleMS and returns its cost.
func New(ctx context.Context, entries, vms int, idleMS int64) (*Footprint, error) {
	ck := clock.New()
	heapBefore := liveHeapBytes()
	fl, err := local.New(ck, io.Discard, "small")
	if err != nil {
		return nil, err
	}
	defer fl.Stop()
	fl.SetSize(entries, vms)
	if err := fl.Start(ctx); err != nil {
		return nil, err
	}
	deadlineMS := ck.Now() + readyTimeoutMS
	for !fl.Ready() {
		if ck.Now() > deadlineMS || ck.Sleep(ctx, pollMS) != nil {
			return nil, code.Internal.New("fleet not ready within %d ms", readyTimeoutMS)
		}
	}
	if err := ck.Sleep(ctx, settleMS); err != nil {
		return nil, err
	}
	fp := &Footprint{entries: entries, vms: vms}
	return fp, fp.measure(ctx, ck, fl, idleMS, heapBefore)
}

// Entries returns the number of entries.
func (fp *Footprint) Entries() int { return fp.entries }

// VMs returns the number of idle VMs.
func (fp *Footprint) VMs() int { return fp.vms }

// CPU returns the CPU time used per entry as a fraction of one core. It includes the entry's share of the simulated platform, which runs in the same process.
func (fp *Footprint) CPU() float64 { return fp.cpu }

// HeapKB returns the live heap per entry in kilobytes, including the entry's share of the simulated platform and VMs.
func (fp *Footprint) HeapKB() float64 { return fp.heapKB }

// Reads returns the table reads per second and entry.
func (fp *Footprint) Reads() float64 { return fp.readsPerSecond }

// Writes returns the table writes per second and entry.
func (fp *Footprint) Writes() float64 { return fp.writesPerSecond }

// PeerBytes returns the bytes per second that an entry received from other entries.
func (fp *Footprint) PeerBytes() float64 { return fp.peerBytesPerSecond }

// measure lets the fleet idle and sets the cost from the counters before and after; heapBefore is the live heap before the fleet was made.
func (fp *Footprint) measure(ctx context.Context, ck *clock.Clock, fl *local.Fleet, idleMS int64, heapBefore uint64) error {
	writes, reads := fl.Platform().Table().Counts()
	peerBytes := fl.PeerBytes()
	usageBefore, startMS := cputime.New(), ck.Now()
	if err := ck.Sleep(ctx, idleMS); err != nil {
		return err
	}
	elapsedMS := float64(ck.Now() - startMS)
	entries := float64(fp.entries)
	fp.cpu = float64(cputime.New().SinceUS(usageBefore)) / usPerMS / elapsedMS / entries
	writesNow, readsNow := fl.Platform().Table().Counts()
	fp.writesPerSecond = float64(writesNow-writes) * msPerSecond / elapsedMS / entries
	fp.readsPerSecond = float64(readsNow-reads) * msPerSecond / elapsedMS / entries
	fp.peerBytesPerSecond = float64(fl.PeerBytes()-peerBytes) * msPerSecond / elapsedMS / entries
	fp.heapKB = float64(liveHeapBytes()-heapBefore) / kilobyte / entries
	return nil
}

// liveHeapBytes returns the heap in use after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
