package table

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/callbudget"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/breaker"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// guard adds a call budget, a circuit breaker, retries and the resolution of commits in doubt to the calls of a client.
type guard struct {
	cl          *Client
	ck          *clock.Clock
	rg          *metric.Registry
	br          *breaker.Breaker
	writeBudget *callbudget.Budget
	readBudget  *callbudget.Budget
	trails      *trailCache
}

const (
	// The calls per second of the whole fleet, of which each process takes an equal share.
	fleetWritesPerSecond = 400
	fleetReadsPerSecond  = 1800

	budgetWaitMS     = 250
	callTimeoutMS    = 2000
	maxCommitTries   = 3
	maxReadTries     = 2
	initialBackoffMS = 20
	maxBackoffMS     = 500
	metricGroup      = "table"

	// Calls that touch rows with these keys are urgent: they may use the reserved part of the budget.
	configPrefix = "config/"
	limitPrefix  = "limit/"
	leasePrefix  = "lease/"
	rosterKey    = "roster"
)

// Guarded returns a client of the same table that limits its calls to this process's share of the fleet's budget, retries with exponential backoff, and determines the outcome of a commit whose answer was lost. The function entries returns the number of processes in the fleet.
func (cl *Client) Guarded(ck *clock.Clock, rg *metric.Registry, entries func() int) *Client {
	gd := &guard{
		cl: cl, ck: ck, rg: rg, br: breaker.New(ck), trails: newTrailCache(),
		writeBudget: callbudget.New(ck, fleetWritesPerSecond, entries),
		readBudget:  callbudget.New(ck, fleetReadsPerSecond, entries),
	}
	return &Client{commit: cl.commit, read: cl.read, gd: gd}
}

// readWithRetry repeats a failed read, unless the budget refused it or the breaker is open.
func (gd *guard) readWithRetry(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	bo := newBackoff()
	for try := 1; ; try++ {
		rep, err := gd.readOnce(ctx, req)
		if err == nil {
			gd.trails.unwrapRows(rep.GetRows())
			return rep, nil
		}
		if try == maxReadTries || code.Of(err) == code.TableBudget || gd.br.Open() || gd.sleep(ctx, bo) != nil {
			return nil, err
		}
	}
}

func (gd *guard) readOnce(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	urgent := slices.ContainsFunc(req.GetKeys(), isUrgent) || slices.ContainsFunc(req.GetPrefixes(), isUrgent)
	var rep *platformpb.ReadReply
	err := gd.call(ctx, gd.readBudget, urgent, "reads", func(ctx context.Context) (err error) {
		rep, err = gd.cl.read(ctx, req)
		return err
	})
	return rep, err
}

// commitWithRetry repeats a failed transaction. A transaction that may have taken effect is repeated only if it is repeatable: the effect of one try changes a version that all tries require, so that no second try can take effect. If its outcome is still in doubt, the rows are read to determine it.
func (gd *guard) commitWithRetry(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	sent, err := gd.wrapWrites(ctx, req)
	if err != nil {
		return nil, err
	}
	bo := newBackoff()
	inDoubt := false
	base := gd.baseOperations(req)
	for try := 1; ; try++ {
		rep, err := gd.commitOnce(ctx, sent)
		if err == nil {
			gd.trails.unwrapRows(rep.GetRows())
			if rep.GetCommitted() || !inDoubt {
				return rep, nil
			}
			return gd.resolveFromRows(req, rep.GetRows(), base, code.TableInDoubt)
		}
		inDoubt = inDoubt || mayHaveTakenEffect(err)
		if try < maxCommitTries && (!inDoubt || repeatable(req)) && code.Of(err) != code.TableBudget && !gd.br.Open() && gd.sleep(ctx, bo) == nil {
			continue
		}
		if inDoubt {
			return gd.resolveInDoubt(ctx, req, base, err)
		}
		return nil, err
	}
}

func (gd *guard) commitOnce(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	urgent := slices.ContainsFunc(req.GetWrites(), func(wr *platformpb.Write) bool { return isUrgent(wr.GetKey()) })
	var rep *platformpb.CommitReply
	err := gd.call(ctx, gd.writeBudget, urgent, "writes", func(ctx context.Context) (err error) {
		rep, err = gd.cl.commit(ctx, req)
		return err
	})
	return rep, err
}

// call makes one call if the budget and the breaker allow it; a call that they refuse has certainly not been sent.
func (gd *guard) call(ctx context.Context, bg *callbudget.Budget, urgent bool, name string, fn func(context.Context) error) error {
	if err := bg.Take(ctx, urgent, budgetWaitMS); err != nil {
		gd.rg.Count(1, metricGroup, "over-budget")
		return err
	}
	generation, ok := gd.br.Allow()
	if !ok {
		return code.TableUnavailable.New("circuit breaker is open after consecutive failures")
	}
	ctx, cancel := gd.ck.WithTimeout(ctx, callTimeoutMS)
	defer cancel()
	start := gd.ck.Now()
	err := fn(ctx)
	gd.br.Done(generation, err == nil)
	gd.rg.Count(1, metricGroup, name)
	gd.rg.Observe(gd.ck.Now()-start, metricGroup, name+"-ms")
	if err != nil {
		gd.rg.Count(1, metricGroup, name+"-failed")
	}
	return err
}

// wrapWrites puts each value into an envelope that extends the trail of the version that it replaces.
func (gd *guard) wrapWrites(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitRequest, error) {
	versions := map[string]uint64{}
	for _, cond := range req.GetConditions() {
		versions[cond.GetKey()] = cond.GetVersion()
	}
	out := proto.CloneOf(req)
	for _, wr := range out.GetWrites() {
		if wr.GetDelete() {
			continue
		}
		version, ok := versions[wr.GetKey()]
		ops, known := gd.trails.lookup(wr.GetKey(), version)
		if !ok || !known {
			var err error
			if ops, err = gd.fetchTrail(ctx, wr.GetKey()); err != nil {
				return nil, err
			}
		}
		var err error
		if wr.Value, err = wrap(wr.GetValue(), ops, req.GetOperation()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// fetchTrail reads the row and returns its trail, which is empty if the row is absent.
func (gd *guard) fetchTrail(ctx context.Context, key string) ([]uint64, error) {
	rep, err := gd.readWithRetry(ctx, &platformpb.ReadRequest{Keys: []string{key}})
	if err != nil || len(rep.GetRows()) == 0 {
		return nil, err
	}
	ops, _ := gd.trails.lookup(key, rep.GetRows()[0].GetVersion())
	return ops, nil
}

// resolveInDoubt reads the rows of a commit in doubt to determine whether it took effect.
func (gd *guard) resolveInDoubt(ctx context.Context, req *platformpb.CommitRequest, base map[string]uint64, cause error) (*platformpb.CommitReply, error) {
	var keys []string
	for _, cond := range req.GetConditions() {
		keys = append(keys, cond.GetKey())
	}
	for _, wr := range req.GetWrites() {
		keys = append(keys, wr.GetKey())
	}
	slices.Sort(keys)
	rep, err := gd.readWithRetry(ctx, &platformpb.ReadRequest{Keys: slices.Compact(keys)})
	if err != nil {
		return nil, code.TableInDoubt.New("%w; cannot read the rows to resolve it: %w", cause, err)
	}
	return gd.resolveFromRows(req, rep.GetRows(), base, cause)
}

// resolveFromRows determines from the rows whether a commit in doubt took effect or certainly didn't; otherwise it returns an error of code TableInDoubt.
func (gd *guard) resolveFromRows(req *platformpb.CommitRequest, rows []*platformpb.Row, base map[string]uint64, cause error) (*platformpb.CommitReply, error) {
	if gd.tookEffect(req, rows) {
		return gd.committedReply(req, rows), nil
	}
	for _, row := range failedConditions(req, rows) {
		if gd.trailReachesBase(req, row, base) {
			return &platformpb.CommitReply{Rows: failedConditions(req, rows)}, nil
		}
	}
	return nil, code.TableInDoubt.Wrap(cause)
}

// trailReachesBase reports whether the row's trail reaches back to the version that the commit requires, so that an operation missing from the trail did not take effect.
func (gd *guard) trailReachesBase(req *platformpb.CommitRequest, row *platformpb.Row, base map[string]uint64) bool {
	if !putsKey(req, row.GetKey()) || row.GetVersion() == 0 {
		return false
	}
	ops, ok := gd.trails.lookup(row.GetKey(), row.GetVersion())
	return ok && len(ops) > 0 && (len(ops) < maxTrailLength || slices.Contains(ops, base[row.GetKey()]))
}

// baseOperations returns the hash of the last operation on each row at the version that the commit requires.
func (gd *guard) baseOperations(req *platformpb.CommitRequest) map[string]uint64 {
	last := map[string]uint64{}
	for _, cond := range req.GetConditions() {
		if ops, ok := gd.trails.lookup(cond.GetKey(), cond.GetVersion()); ok && len(ops) > 0 {
			last[cond.GetKey()] = ops[len(ops)-1]
		}
	}
	return last
}

// tookEffect reports whether one of the rows that the commit writes shows its operation.
func (gd *guard) tookEffect(req *platformpb.CommitRequest, rows []*platformpb.Row) bool {
	return slices.ContainsFunc(rows, func(row *platformpb.Row) bool {
		return writesKey(req, row.GetKey()) && gd.trails.containsOperation(row, req.GetOperation())
	})
}

// committedReply returns the reply of a commit that took effect. A row that has been overwritten since has version 0, so that no later write can be based on it.
func (gd *guard) committedReply(req *platformpb.CommitRequest, rows []*platformpb.Row) *platformpb.CommitReply {
	gd.rg.Count(1, metricGroup, "found-after-doubt")
	rep := &platformpb.CommitReply{Committed: true}
	for _, wr := range req.GetWrites() {
		row := &platformpb.Row{Key: wr.GetKey(), Value: wr.GetValue(), Operation: req.GetOperation()}
		for _, got := range rows {
			if got.GetKey() == wr.GetKey() && got.GetOperation() == req.GetOperation() {
				row.Version = got.GetVersion()
			}
		}
		rep.Rows = append(rep.Rows, row)
	}
	return rep
}

func (gd *guard) sleep(ctx context.Context, bo *backoff.ExponentialBackOff) error {
	return gd.ck.Sleep(ctx, bo.NextBackOff().Milliseconds())
}

func newBackoff() *backoff.ExponentialBackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = initialBackoffMS * time.Millisecond
	bo.MaxInterval = maxBackoffMS * time.Millisecond
	bo.Reset()
	return bo
}

// mayHaveTakenEffect is false only for errors that say that the call was refused before it took effect.
func mayHaveTakenEffect(err error) bool {
	cd := code.Of(err)
	return cd != code.TableBudget && cd != code.TableUnavailable
}

// repeatable reports whether the commit writes a row whose version it requires, so that at most one of its tries can take effect.
func repeatable(req *platformpb.CommitRequest) bool {
	return slices.ContainsFunc(req.GetConditions(), func(cond *platformpb.Condition) bool { return writesKey(req, cond.GetKey()) })
}

func writesKey(req *platformpb.CommitRequest, key string) bool {
	return slices.ContainsFunc(req.GetWrites(), func(wr *platformpb.Write) bool { return wr.GetKey() == key })
}

func putsKey(req *platformpb.CommitRequest, key string) bool {
	return slices.ContainsFunc(req.GetWrites(), func(wr *platformpb.Write) bool { return wr.GetKey() == key && !wr.GetDelete() })
}

// failedConditions returns the rows whose version differs from the required one, after which no try can take effect.
func failedConditions(req *platformpb.CommitRequest, rows []*platformpb.Row) []*platformpb.Row {
	var list []*platformpb.Row
	for _, cond := range req.GetConditions() {
		now := &platformpb.Row{Key: cond.GetKey()}
		for _, row := range rows {
			if row.GetKey() == cond.GetKey() {
				now = row
			}
		}
		if now.GetVersion() != cond.GetVersion() {
			list = append(list, now)
		}
	}
	return list
}

func isUrgent(key string) bool {
	return strings.HasPrefix(key, configPrefix) || strings.HasPrefix(key, limitPrefix) || strings.HasPrefix(key, leasePrefix) || key == rosterKey
}
