package requestdedup_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestdedup"
	"github.com/fulmarloft/fulmarloft/internal/request/requestid"
)

// BenchmarkBytesPerID reports the heap size of one remembered id whose answer has a body of 256 bytes.
func BenchmarkBytesPerID(b *testing.B) {
	const ids = 50_000
	for b.Loop() {
		ck := clock.NewFake(1_000_000)
		mm := requestdedup.New(ck, func() int64 { return 600_000 })
		before := heapBytes()
		for at := range uint64(ids) {
			id := requestid.New("entry-1.abcd", ck.Now(), at, false)
			mm.Do(context.Background(), id, &callpb.Request{}, at, func() *callpb.Answer {
				return &callpb.Answer{Id: id.String(), Outcome: "answered", Status: 200, Body: make([]byte, 256)}
			})
		}
		b.ReportMetric(float64(heapBytes()-before)/ids, "B/id")
		runtime.KeepAlive(mm)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
