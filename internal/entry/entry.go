package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/machines/vmlist"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/settings"
	"github.com/fulmarloft/fulmarloft/internal/store/platformclient"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
)

// Entry is one entry process: it serves callers, operators and other entries, and replicates the configuration together with the other entries.
type Entry struct {
	st          *settings.Settings
	ck          *clock.Clock
	lg          *event.Log
	mt          *metric.Registry
	platform    *platformclient.Client
	tab         *table.Client
	vms         *vmlist.View
	incarnation string

	callers *mux.Router
	admin   *mux.Router
	srv     servers

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	cluster  clusterPart
	limits   limitsPart
	dataPath dataPathPart
	slots    slotsPart
	view     viewPart
	fleet    fleetPart
	jobs     jobsPart
	requests requestsPart

	capacity capacityPart
}

// processSeparator separates a VM's incarnation, which doesn't contain it, from the random suffix of a process incarnation.
const processSeparator = "."

// New returns an entry that doesn't serve until Start.
func New(st *settings.Settings, ck *clock.Clock, lg *event.Log) *Entry {
	en := &Entry{
		st:          st,
		ck:          ck,
		lg:          lg,
		mt:          metric.New(),
		platform:    platformclient.New(st.Platform(), st.Name()),
		incarnation: st.Incarnation() + processSeparator + uuid.NewString()[:8],
		callers:     mux.NewRouter(),
		admin:       mux.NewRouter(),
	}
	en.ctx, en.cancel = context.WithCancel(context.Background())
	en.vms = vmlist.New(en.platform.VMs)
	en.tab = table.New(en.platform.Commit, en.platform.Read).Guarded(ck, en.mt, en.tableUsers)
	return en
}

// Start listens, wires the components together and returns; the entry then runs until Stop.
func (en *Entry) Start() error {
	if err := en.listen(); err != nil {
		return err
	}
	for _, wire := range []func() error{
		en.wireCluster,
		en.wireLimits,
		en.wireRequests,
		en.wireDataPath,
		en.wireSlots,
		en.wireFleet,
		en.wireView,
		en.wireCapacity,
		en.wireJobs,
		en.startCluster,
	} {
		if err := wire(); err != nil {
			return err
		}
	}
	en.every(vmListIntervalMS, "vm-list", en.refreshView)
	en.serve()
	en.lg.Info("entry-started", "name", en.st.Name(), "zone", en.st.Zone(), "incarnation", en.incarnation,
		"caller-address", en.CallerAddress(), "admin-address", en.AdminAddress(), "peer-address", en.PeerAddress())
	return nil
}

// Stop drains the entry: it serves callers until the load balancer has noticed, waits for requests in flight and then stops everything.
func (en *Entry) Stop(ctx context.Context) {
	en.drainCallers(ctx)
	en.Kill()
	en.releaseLeases(ctx)
	en.lg.Info("entry-stopped", "name", en.st.Name())
}

// Kill stops the entry immediately and closes its connections, like the loss of its VM.
func (en *Entry) Kill() {
	en.cancel()
	en.closeServers()
	en.loops.Wait()
}

// Incarnation returns the id of this run of the process: the VM's incarnation, a dot and a random suffix.
func (en *Entry) Incarnation() string { return en.incarnation }

// Name returns the name from the settings.
func (en *Entry) Name() string { return en.st.Name() }

// Zone returns the availability zone from the settings.
func (en *Entry) Zone() string { return en.st.Zone() }

// Bundle returns the entry's current configuration, nil before the first one arrives.
func (en *Entry) Bundle() *bundle.Bundle { return en.cluster.current() }

// call runs one request, which acquires a unit of its team's limit when it leaves the queue.
func (en *Entry) call(ctx context.Context, req *callpb.Request) *callpb.Answer {
	return en.dataPath.dispatch(ctx, req)
}

// vmGone reports whether the platform lists the VM of a process incarnation as permanently ended.
func (en *Entry) vmGone(incarnation string) bool {
	vm, _, _ := strings.Cut(incarnation, processSeparator)
	return en.vms.Gone(vm)
}

// every runs fn immediately and then after each pause until the entry stops; it logs an error only when fn starts to fail, and the recovery.
func (en *Entry) every(pauseMS int64, name string, fn func(ctx context.Context) error) {
	en.loops.Add(1)
	go func() {
		defer en.loops.Done()
		failed := false
		for {
			failed = en.logTransition(name, failed, fn(en.ctx))
			if en.ck.Sleep(en.ctx, pauseMS) != nil {
				return
			}
		}
	}()
}

// logTransition logs when a loop starts to fail or recovers, and returns whether it fails now.
func (en *Entry) logTransition(name string, failed bool, err error) bool {
	if en.ctx.Err() != nil {
		return failed
	}
	if err != nil && !failed {
		en.lg.Fail(name+"-failed", err, "name", en.st.Name())
	}
	if err == nil && failed {
		en.lg.Info(name+"-recovered", "name", en.st.Name())
	}
	return err != nil
}
