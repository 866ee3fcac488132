package bulkread

import (
	"context"
	"encoding/base64"
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Reader reads partitions in pages sized and paced by the rate of this machine's link, and reads a failed page again; it is safe for concurrent use.
type Reader struct {
	st *rowstore.Store
	ck *clock.Clock
	// bytesPerS is the rate of the link, 0 if it is unknown.
	bytesPerS int64
	// Busy reports whether a call is under way that a page must not delay.
	Busy func() bool
	// OnFailure is called after each failed page that is read again; the last failure of a read is only returned.
	OnFailure func(error)

	bytes atomic.Int64
	// progressMS is when a page was last read.
	progressMS atomic.Int64

	mu sync.Mutex
	// freeMS is when the link has carried all pages so far, at the rate that they may use.
	freeMS float64
	// inFlight is the probable size of the pages that were asked for and haven't arrived.
	inFlight float64
	// bytesPerSpan holds, by table, how many bytes a whole partition seems to hold.
	bytesPerSpan map[string]float64
}

const (
	// pageMS is how long the link may take to carry one page: calls that begin meanwhile wait for it.
	pageMS = 100
	// linkDivisor divides the rate of the link into the part that pages may use.
	linkDivisor = 2
	// storePageBytes is the size at which the store itself ends a page.
	storePageBytes = 1_000_000
	// rowOverheadBytes is what a response holds for each row beside the value.
	rowOverheadBytes = 90
	// maxGrowth is the maximum ratio of the parts of a partition that two pages in succession ask for.
	maxGrowth = 8
	// unknownDivisor divides a full page for the probable size of the first one of a table, so that those of several tables may be read at once from a slow store.
	unknownDivisor = 4
	// minSpan is the least part of a partition that a page asks for, so that keys which lie close together don't lead to endless pages.
	minSpan = 1e-6
	// retryMS is the pause before a failed page is read again.
	retryMS = 100
	// checkMS is how often a page that waits checks whether it may be read.
	checkMS = 10
	// maxYieldMS is how long a page waits for other calls: on a slow store these are under way nearly always.
	maxYieldMS = 400
	// stallMS is how long the pages may fail before a read is given up; the store is down for up to 7 s.
	stallMS = 20_000
	msPerS  = 1000
)

// New returns a reader for a link of the given rate, 0 for reads without limits.
func New(st *rowstore.Store, ck *clock.Clock, linkBytesPerS int64) *Reader {
	return &Reader{st: st, ck: ck, bytesPerS: linkBytesPerS, Busy: func() bool { return false }, OnFailure: func(error) {}, bytesPerSpan: map[string]float64{}}
}

// Bytes returns how much has been read.
func (rd *Reader) Bytes() int64 { return rd.bytes.Load() }

// ReadAll returns all rows of a partition and the version of the first page, so that a feed from that version misses no change. Most keys should consist of the prefix and hexadecimal digits, by which the partition is divided into pages; others are read as well.
func (rd *Reader) ReadAll(ctx context.Context, table, partition, prefix string) ([]rowstore.Row, int64, error) {
	var all []rowstore.Row
	first := int64(0)
	for begin, span := 0.0, rd.firstSpan(table); begin < 1; {
		end := begin + span
		list, version, err := rd.readSpan(ctx, table, partition, key(prefix, begin), key(prefix, end), span)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = version
		}
		all = append(all, list...)
		bytes := max(sizeOf(list), 1)
		rd.learn(table, float64(bytes)/min(span, 1-begin), begin == 0)
		span = max(min(span*float64(rd.pageBytes())/float64(bytes), span*maxGrowth), minSpan)
		begin = end
	}
	return all, first, nil
}

// pageBytes returns the size that a page should have.
func (rd *Reader) pageBytes() int64 {
	if rd.bytesPerS == 0 {
		return storePageBytes
	}
	return min(rd.bytesPerS*pageMS/msPerS, storePageBytes)
}

// firstSpan returns the part of a partition to read first, from 0 to 1: as other partitions of the table suggest, or else such that a partition as large as a page of the store is divided.
func (rd *Reader) firstSpan(table string) float64 {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if known, ok := rd.bytesPerSpan[table]; ok {
		return float64(rd.pageBytes()) / max(known, 1)
	}
	return float64(rd.pageBytes()) / storePageBytes
}

// learn records how many bytes a partition would hold if all of it were like one page; the first page of a partition also lowers the estimate.
func (rd *Reader) learn(table string, bytes float64, first bool) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if known, ok := rd.bytesPerSpan[table]; !ok || first || bytes > known {
		rd.bytesPerSpan[table] = bytes
	}
}

// expected returns the probable size of a page.
func (rd *Reader) expected(table string, span float64) float64 {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if known, ok := rd.bytesPerSpan[table]; ok {
		return known * min(span, 1)
	}
	return float64(rd.pageBytes()) / unknownDivisor
}

// key returns the first key of the part of a partition that begins at a fraction of it, empty at both ends.
func key(prefix string, fraction float64) string {
	if fraction <= 0 || fraction >= 1 {
		return ""
	}
	return prefix + fmt.Sprintf("%013x", uint64(fraction*(1<<52)))
}

// readSpan reads the rows between two keys, in several pages if the store divides them.
func (rd *Reader) readSpan(ctx context.Context, table, partition, from, to string, span float64) ([]rowstore.Row, int64, error) {
	var all []rowstore.Row
	first := int64(0)
	for {
		pg, err := rd.readPage(ctx, table, partition, from, to, span)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = pg.Version()
		}
		all = append(all, pg.Rows()...)
		if !pg.More() || len(pg.Rows()) == 0 {
			return all, first, nil
		}
		if from, err = pg.NextKey(from); err != nil {
			return nil, 0, err
		}
	}
}

// readPage reads one page, until it succeeds, no page has succeeded for stallMS or the context ends.
func (rd *Reader) readPage(ctx context.Context, table, partition, from, to string, span float64) (rowstore.Page, error) {
	beginMS := rd.ck.Now()
	for {
		bytes := rd.expected(table, span)
		if err := rd.acquire(ctx, bytes); err != nil {
			return rowstore.Page{}, code.TableUnavailable.Wrap(err)
		}
		pg, err := rd.st.Read(ctx, table, partition, from, to)
		actual := sizeOf(pg.Rows())
		rd.finish(bytes, float64(actual))
		if err == nil {
			rd.bytes.Add(actual)
			rd.progressMS.Store(rd.ck.Now())
			return pg, nil
		}
		if ctx.Err() != nil || rd.ck.Now()-max(beginMS, rd.progressMS.Load()) >= stallMS {
			return rowstore.Page{}, err
		}
		rd.OnFailure(err)
		if err := rd.ck.Sleep(ctx, retryMS); err != nil {
			return rowstore.Page{}, code.TableUnavailable.Wrap(err)
		}
	}
}

// acquire waits until the link has carried the pages before and no other call is to go first.
func (rd *Reader) acquire(ctx context.Context, bytes float64) error {
	if rd.bytesPerS == 0 {
		return ctx.Err()
	}
	beginMS := rd.ck.Now()
	for (rd.Busy() && rd.ck.Now()-beginMS < maxYieldMS) || !rd.reserve(bytes) {
		if err := rd.ck.Sleep(ctx, checkMS); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// reserve charges a page if the pages before leave the link free within pageMS. On a slow link those under way hold no more than one page does, so that they can't pile up where it is slower than it should be.
func (rd *Reader) reserve(bytes float64) bool {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.freeMS > float64(rd.ck.Now()+pageMS) {
		return false
	}
	if limit := rd.pageBytes(); limit < storePageBytes && rd.inFlight > 0 && rd.inFlight+bytes > float64(limit) {
		return false
	}
	rd.inFlight += bytes
	rd.charge(bytes)
	return true
}

// finish corrects the charge of a page that has arrived, or failed, by its actual size.
func (rd *Reader) finish(expected, actual float64) {
	if rd.bytesPerS == 0 {
		return
	}
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.inFlight -= expected
	rd.charge(actual - expected)
}

// charge adds bytes to those that the link has to carry; the caller holds the lock.
func (rd *Reader) charge(bytes float64) {
	rd.freeMS = math.Max(rd.freeMS, float64(rd.ck.Now())) + bytes*linkDivisor*msPerS/float64(rd.bytesPerS)
}

// sizeOf returns what a response with the rows holds.
func sizeOf(list []rowstore.Row) int64 {
	sum := 0
	for _, rw := range list {
		sum += base64.StdEncoding.EncodedLen(len(rw.Value())) + rowOverheadBytes
	}
	return int64(sum)
}
