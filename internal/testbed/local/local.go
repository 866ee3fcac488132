package local

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/netmeter"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/settings"
	"github.com/fulmarloft/fulmarloft/internal/testbed/recorder"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/platform"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/worker"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Fleet holds the simulated platform, the endpoints, the workers and the entries of one user's fleet.
type Fleet struct {
	ck  *clock.Clock
	lg  *event.Log
	rec *recorder.Recorder
	pf  *platform.Server

	shape   shape
	secrets map[string]string
	signer  ed25519.PrivateKey
	bundle  []byte

	mu            sync.Mutex
	entries       map[string]*entry.Entry
	incarnations  map[string]int // Number of incarnations started, by VM name.
	endpoints     map[string]*endpoint.Server
	workers       map[string]*worker.Server
	rnd           *rand.Rand
	operatorCalls int
	peerBytes     atomic.Int64
	nw            *network
	hc            *http.Client
}

const (
	loopback      = "127.0.0.1:0"
	unusedAddress = "127.0.0.1:1"
	listLagMS     = 300
	dialTimeoutMS = 1000
	rebootMS      = 800
	runTimeSeed   = 7
	usageLagMS    = 300
)

// New returns a fleet of the named user's size (porotca, kowhai, small or bench) that has not been started.
func New(ck *clock.Clock, logs io.Writer, user string) (*Fleet, error) {
	sh, ok := shapes[user]
	if !ok {
		return nil, code.SettingsInvalid.New("user %q: expected porotca, kowhai, small or bench", user)
	}
	fl := &Fleet{
		ck: ck, lg: event.New(logs), rec: recorder.New(), shape: sh,
		secrets: map[string]string{}, entries: map[string]*entry.Entry{}, incarnations: map[string]int{},
		endpoints: map[string]*endpoint.Server{}, workers: map[string]*worker.Server{},
		rnd: rand.New(rand.NewPCG(runTimeSeed, runTimeSeed)), nw: newNetwork(), hc: &http.Client{Transport: &http.Transport{}},
	}
	return fl, nil
}

// SetSize sets the number of entries and of idle VMs, which are VMs of kind worker without a worker process; call it before Start.
func (fl *Fleet) SetSize(entries, idleVMs int) {
	fl.shape.entries = entries
	fl.shape.idleVMs = idleVMs
}

// Start starts the platform, the endpoints and the workers, publishes the first bundle and starts the entries.
func (fl *Fleet) Start(ctx context.Context) error {
	pf, err := platform.New(fl.ck, loopback, listLagMS, rebootMS)
	if err != nil {
		return err
	}
	fl.pf = pf
	fl.pf.PutVMs(fl.idleVMs())
	for _, step := range []func() error{fl.startEndpoints, fl.startWorkers, fl.makeBundle} {
		if err := step(); err != nil {
			return err
		}
	}
	if err := fl.publishFirstBundle(ctx); err != nil {
		return err
	}
	return fl.startEntries()
}

// Stop kills the entries and closes the endpoints, the workers and the platform without draining.
func (fl *Fleet) Stop() {
	fl.hc.CloseIdleConnections()
	for _, en := range fl.Entries() {
		en.Kill()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ep := range fl.endpoints {
		ep.Close()
	}
	for _, wk := range fl.workers {
		wk.Close()
	}
	if fl.pf != nil {
		fl.pf.Close()
	}
}

// Platform returns the simulated platform.
func (fl *Fleet) Platform() *platform.Server { return fl.pf }

// Recorder returns the recorder of the runs at the endpoints and workers.
func (fl *Fleet) Recorder() *recorder.Recorder { return fl.rec }

// Secret returns the secret of a team's key.
func (fl *Fleet) Secret(team string) string { return fl.secrets[team] }

// Endpoint returns the endpoint of a VM, or nil if there is none.
func (fl *Fleet) Endpoint(vm string) *endpoint.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.endpoints[vm]
}

// Worker returns the worker of a VM, or nil if there is none.
func (fl *Fleet) Worker(vm string) *worker.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.workers[vm]
}

// Entry returns an entry by name, or nil if there is none.
func (fl *Fleet) Entry(name string) *entry.Entry {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.entries[name]
}

// Entries returns the running entries in the order of their numbers.
func (fl *Fleet) Entries() []*entry.Entry {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []*entry.Entry
	for _, name := range fl.shape.entryNames() {
		if en := fl.entries[name]; en != nil {
			list = append(list, en)
		}
	}
	return list
}

// Ready reports whether every running entry is ready, that is holds a bundle and has read the VM list.
func (fl *Fleet) Ready() bool {
	for _, en := range fl.Entries() {
		if !en.Ready() {
			return false
		}
	}
	return true
}

// ReplaceEntry drains an entry and starts a new incarnation of it with new addresses.
func (fl *Fleet) ReplaceEntry(ctx context.Context, name string) error {
	old := fl.Entry(name)
	if old == nil {
		return code.VMUnknown.New("entry %q does not exist", name)
	}
	old.Stop(ctx)
	return fl.startEntry(name)
}

// KillEntry kills an entry without draining it and starts no other.
func (fl *Fleet) KillEntry(name string) error {
	old := fl.Entry(name)
	if old == nil {
		return code.VMUnknown.New("entry %q does not exist", name)
	}
	old.Kill()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.entries, name)
	return nil
}

// KillAndReplaceEntry kills an entry without draining it and starts a new incarnation of it with new addresses.
func (fl *Fleet) KillAndReplaceEntry(name string) error {
	if err := fl.KillEntry(name); err != nil {
		return err
	}
	return fl.startEntry(name)
}

func (fl *Fleet) startEndpoints() error {
	for _, pl := range fl.shape.pools() {
		for i := range pl.size {
			if err := fl.startEndpoint(pl.name, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (fl *Fleet) startEndpoint(pool string, i int) error {
	name := fmt.Sprintf("%s-%d", pool, i+1)
	ep, err := endpoint.New(fl.ck, name, loopback, fl.shape.slotsPerVM, fl.runMS, fl.rec)
	if err != nil {
		return err
	}
	zone := fl.shape.zone(i)
	fl.mu.Lock()
	fl.endpoints[name] = ep
	boot := fl.incarnations[name]
	fl.incarnations[name]++
	fl.mu.Unlock()
	fl.pf.PutVM(&platformpb.VM{
		Name: name, Incarnation: fmt.Sprintf("%s-boot-%d", name, boot), Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, i/fl.shape.zones()%2+1),
		Address: ep.Address(), Kind: "endpoint", Pool: pool,
	})
	return nil
}

// LoseVM closes the endpoint of a VM and removes the VM from the platform, as if its machine had failed.
func (fl *Fleet) LoseVM(name string) error {
	ep := fl.Endpoint(name)
	if ep == nil {
		return code.VMUnknown.New("VM %q does not exist", name)
	}
	ep.Close()
	fl.pf.RemoveVM(name)
	return nil
}

// ReturnVM starts a new incarnation of a lost VM in its original pool.
func (fl *Fleet) ReturnVM(name string) error {
	for _, pl := range fl.shape.pools() {
		for i := range pl.size {
			if name == fmt.Sprintf("%s-%d", pl.name, i+1) {
				return fl.startEndpoint(pl.name, i)
			}
		}
	}
	return code.VMUnknown.New("VM %q does not exist", name)
}

func (fl *Fleet) startWorkers() error {
	for i := range fl.shape.workers {
		wk, err := worker.New(fl.ck, loopback, usageLagMS, fl.rec)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("worker-%d", i+1)
		zone := fl.shape.zone(i / workersPerRack)
		fl.mu.Lock()
		fl.workers[name] = wk
		fl.mu.Unlock()
		fl.pf.PutVM(&platformpb.VM{
			Name: name, Incarnation: name + "-boot-0", Zone: zone, Rack: fmt.Sprintf("%s-rack-w%d", zone, i/workersPerRack),
			Address: wk.Address(), Kind: "worker", Pool: workerPool,
			Cores: workerCores, MemoryMb: workerMemoryMB, Accelerators: workerAccelerators,
		})
	}
	return nil
}

// idleVMs returns the idle VMs; nothing listens on their address.
func (fl *Fleet) idleVMs() []*platformpb.VM {
	var list []*platformpb.VM
	for i := range fl.shape.idleVMs {
		name := fmt.Sprintf("further-%d", i+1)
		zone := fl.shape.zone(i / workersPerRack)
		list = append(list, &platformpb.VM{
			Name: name, Incarnation: name + "-boot-0", Zone: zone, Rack: fmt.Sprintf("%s-rack-f%d", zone, i/workersPerRack),
			Address: unusedAddress, Kind: "worker", Pool: idlePool,
			Cores: workerCores, MemoryMb: workerMemoryMB, Accelerators: workerAccelerators,
		})
	}
	return list
}

// runMS returns an exponentially distributed run time with the mean of the shape.
func (fl *Fleet) runMS() int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return 1 + int64(fl.rnd.ExpFloat64()*float64(fl.shape.meanRunMS))
}

func (fl *Fleet) startEntries() error {
	for _, name := range fl.shape.entryNames() {
		if err := fl.startEntry(name); err != nil {
			return err
		}
	}
	return nil
}

func (fl *Fleet) startEntry(name string) error {
	fl.mu.Lock()
	fl.incarnations[name]++
	vm := fmt.Sprintf("%s-boot-%d", name, fl.incarnations[name])
	fl.mu.Unlock()
	fl.pf.PutVM(&platformpb.VM{Name: name, Incarnation: vm, Zone: fl.shape.entryZone(name), Rack: name, Kind: "entry"})
	text := fmt.Sprintf("name: %s\nvm-incarnation: %s\nzone: %s\ncaller-address: %s\nadmin-address: %s\npeer-address: %s\nplatform-address: %s\nfirst-peers: [%s]\n",
		name, vm, fl.shape.entryZone(name), loopback, loopback, loopback, fl.pf.Address(), fl.firstPeers(name))
	st, err := settings.Parse([]byte(text))
	if err != nil {
		return err
	}
	en := entry.New(st, fl.ck, fl.lg)
	en.SetPeerDial(fl.nw.dialer(fl.ck, en.Zone()))
	en.WrapPeerListener(func(ls net.Listener) net.Listener { return netmeter.New(ls, &fl.peerBytes) })
	if err := en.Start(); err != nil {
		return err
	}
	fl.nw.setZone(en.PeerAddress(), en.Zone())
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.entries[name] = en
	return nil
}
