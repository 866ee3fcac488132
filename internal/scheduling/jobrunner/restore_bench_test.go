package jobrunner_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relay"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

const (
	// rowOverheadBytes is what a response holds for each row beside the value: names, key, partition and version.
	rowOverheadBytes = 90
	// A response of the store holds at most pageRows rows and pageBytes bytes.
	pageRows  = 500
	pageBytes = 1_000_000
	// answerMS is the store's latency beside the transmission.
	answerMS    = 4
	bitsPerByte = 8
	// payloadBytes is the mean size of a payload.
	payloadBytes = 1200
	benchVMs     = 4
)

// linkStore is a store behind a link of a given rate, which all calls share.
type linkStore struct {
	ck        *clock.Clock
	bitsPerMS int64
	rows      map[string][]rowstore.Row

	mu          sync.Mutex
	version     int64
	readBytes   int64
	linkFreeMS  int64
	remainderMS float64
}

func newLinkStore(ck *clock.Clock, mbitPerS int64) *linkStore {
	return &linkStore{ck: ck, bitsPerMS: mbitPerS * 1000, rows: map[string][]rowstore.Row{}, version: 1}
}

func (ls *linkStore) rowstore() *rowstore.Store {
	return &rowstore.Store{Read: ls.read, Partitions: ls.partitions, Commit: ls.commit, Feed: ls.feed}
}

func (ls *linkStore) put(tb testing.TB, table, partition, key string, msg proto.Message) {
	raw, err := proto.Marshal(msg)
	qt.Assert(tb, err, qt.IsNil)
	at := table + "/" + partition
	ls.rows[at] = append(ls.rows[at], rowstore.NewRow(table, partition, key, raw, 1))
}

// sortRows must be called once all rows are put.
func (ls *linkStore) sortRows() {
	for _, list := range ls.rows {
		sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	}
}

// transfer waits until the link has carried that many bytes after those of earlier calls.
func (ls *linkStore) transfer(ctx context.Context, bytes int64) error {
	ls.mu.Lock()
	ls.readBytes += bytes
	now := ls.ck.Now()
	exact := float64(max(ls.linkFreeMS, now)) + ls.remainderMS + float64(bytes*bitsPerByte)/float64(ls.bitsPerMS)
	ls.linkFreeMS = int64(exact)
	ls.remainderMS = exact - float64(ls.linkFreeMS)
	waitMS := ls.linkFreeMS - now + answerMS
	ls.mu.Unlock()
	return ls.ck.Sleep(ctx, waitMS)
}

func (ls *linkStore) read(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
	list := ls.rows[table+"/"+partition]
	list = list[sort.Search(len(list), func(i int) bool { return list[i].Key() >= from }):]
	count, bytes := 0, int64(0)
	for _, rw := range list {
		size := int64(base64.StdEncoding.EncodedLen(len(rw.Value())) + rowOverheadBytes)
		if count == pageRows || bytes+size > pageBytes || (to != "" && rw.Key() >= to) {
			break
		}
		count++
		bytes += size
	}
	err := ls.transfer(ctx, bytes)
	more := count < len(list) && (to == "" || list[count].Key() < to)
	return rowstore.NewPage(list[:count], more, 1), err
}

func (ls *linkStore) partitions(_ context.Context, table string) ([]string, error) {
	var out []string
	for at := range ls.rows {
		if name, partition, _ := strings.Cut(at, "/"); name == table {
			out = append(out, partition)
		}
	}
	return out, nil
}

func (ls *linkStore) commit(ctx context.Context, _ *rowstore.Tx) (int64, []rowstore.Row, error) {
	err := ls.transfer(ctx, 0)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.version++
	return ls.version, nil, err
}

func (ls *linkStore) feed(ctx context.Context, _ string, after, waitMS int64) (rowstore.Page, error) {
	err := ls.ck.Sleep(ctx, waitMS)
	return rowstore.NewPage(nil, false, after), err
}

// fill stores jobs as a long uninterrupted service leaves them: of a hundred two are open, the rows of three are still whole and the progress of six still stored after their end, and the others ended earlier.
func (ls *linkStore) fill(tb testing.TB, jobs int) {
	payload := strings.Repeat("x", payloadBytes)
	for at := range jobs {
		id, table := fmt.Sprintf("%016x", uint64(at+1)*0x9e3779b97f4a7c15), intake.JobsTable
		row := &workpb.Job{
			Id: id, Queue: "q", Team: "t", Payload: payload, AcceptedMs: ls.ck.Now(),
			Steps: []*workpb.Step{{Count: 6, CpuMilli: 1800, MemoryMb: 400, EstimateMs: 800}, {Count: 6, CpuMilli: 1800, MemoryMb: 400, EstimateMs: 800, After: []int32{0}}},
		}
		switch at % 100 {
		case 0, 50:
		case 1, 2, 3:
			ls.put(tb, intake.ProgressTable, ownership.Partition, id, &workpb.Progress{Id: id, State: workpb.State_COMPLETED})
		default:
			if at%100 <= 6 {
				ls.put(tb, intake.ProgressTable, ownership.Partition, id, &workpb.Progress{Id: id, State: workpb.State_COMPLETED})
			}
			table = intake.EndedTable
			row = &workpb.Job{Id: id, Queue: "q", AcceptedMs: row.GetAcceptedMs(), Ended: workpb.State_COMPLETED, WorkCoreMs: 17_280}
		}
		ls.put(tb, table, intake.Partition(id), id, row)
	}
	for at := range benchVMs {
		id := fmt.Sprintf("vm-%d", at)
		ls.put(tb, registryTable, "", id, &workpb.VM{Id: id, Service: "s", Address: id, CpuMilli: 32_000, MemoryMb: 64_000, Machine: "m-" + id})
	}
	ls.sortRows()
}

// restoreUntilFirstStart takes the ownership over and returns the time until the first start is ordered.
func (ls *linkStore) restoreUntilFirstStart(b *testing.B) int64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ow := ownership.New(ls.rowstore(), ls.ck, "one", "one.1", 1).WithLink(ls.bitsPerMS * 1000 / bitsPerByte)
	owned, err := ow.Poll(ctx)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, owned, qt.IsTrue)
	begunMS := ls.ck.Now()
	started := make(chan int64, 1)
	deps := &jobrunner.Dependencies{
		Store: ls.rowstore(),
		Order: func(context.Context, *workpb.Order) *workpb.Outcome {
			select {
			case started <- ls.ck.Now():
			default:
			}
			return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
		},
		Poll: func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
			_ = ls.ck.Sleep(ctx, lr.GetWaitMs())
			return &workpb.Look{ClockMs: ls.ck.Now()}, workpb.Verdict_ACCEPTED
		},
		Relays:        relay.New(ls.ck, event.Discard(), 0),
		LinkBytesPerS: ls.bitsPerMS * 1000 / bitsPerByte,
		RegistryTable: registryTable, RegistryPrefix: "vm-", DecodeVM: decodeVM,
		Machines: func(context.Context) ([]*workpb.Machine, error) { return nil, nil },
		Rules:    rules(), Waves: func() []*workpb.Wave { return nil }, EvacuatedZones: func() map[string]bool { return nil },
	}
	ended := make(chan struct{})
	go func() {
		_ = jobrunner.New(deps, ls.ck, event.Discard(), ow, 4000, 150_000).Run(ctx)
		close(ended)
	}()
	firstMS := <-started
	cancel()
	<-ended
	return firstMS - begunMS
}

// BenchmarkRestore measures a restore up to the first start, by jobs stored and rate of the link to the store.
func BenchmarkRestore(b *testing.B) {
	for _, mbitPerS := range []int64{200, 20, 2} {
		for _, jobs := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d-mbit/%d-jobs", mbitPerS, jobs), func(b *testing.B) {
				ls := newLinkStore(clock.New(), mbitPerS)
				ls.fill(b, jobs)
				b.ReportAllocs()
				totalMS := int64(0)
				for b.Loop() {
					totalMS += ls.restoreUntilFirstStart(b)
				}
				b.ReportMetric(float64(totalMS)/float64(b.N), "first-start-ms")
				b.ReportMetric(float64(ls.readBytes)/float64(b.N), "read-B")
			})
		}
	}
}
