package scheduler

import (
	"context"
	"fmt"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/duequeue"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/fairshare"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/quarantine"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/usage"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/vmsizes"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// Scheduler places and tracks all jobs while the scheduler lease is held. Its exported fields are its dependencies on the rest of the entry process; all must be set before the first Step.
type Scheduler struct {
	Clock  *clock.Clock
	Table  *table.Client
	Log    *event.Log
	Metric *metric.Registry
	// Incarnation identifies this run of the process and is part of every operation id.
	Incarnation string
	// Held reports whether the scheduler lease is still valid; it is checked right before each commit of job states and each command to a worker.
	Held func() bool
	// Teams returns the teams of the configuration in force, or false while this entry can't tell whether its configuration is current.
	Teams func() ([]team.Team, bool)
	// Timing returns the length of a run's lease and how long the rows of ended jobs are kept, both in milliseconds.
	Timing func() (leaseMS, retentionMS int64)
	// Fleet returns the latest list of VMs.
	Fleet func() *platformpb.VMList
	// Condition returns the condition on the VM's row that a commit which places a job on the VM must include, or nil if the VM takes no work.
	Condition func(vm string) *platformpb.Condition
	// Draining reports whether the VM's row is in the draining state, in which the VM waits for its runs to end.
	Draining func(vm string) bool
	// Send sends a command to a worker. An error with a code from 100 to 199 proves that the worker did nothing.
	Send func(ctx context.Context, vm string, task *platformpb.Task) (*platformpb.TaskReport, error)
	// Reports returns the state of all runs on a worker.
	Reports func(ctx context.Context, vm string) (*platformpb.TaskReports, error)
	// Parallel is the maximum number of concurrent calls to workers.
	Parallel int

	mu sync.Mutex
	// Number of times this process has rebuilt the state as the holder; part of its operation ids.
	term int64
	// Number of the last operation.
	seq       int64
	st        *state
	estimator *usage.Estimator
}

// state is the scheduler's in-memory state for one term as the lease holder; the next holder rebuilds it from the table.
type state struct {
	jobs map[string]*record
	// Jobs whose state isn't stored yet.
	dirty    map[string]*record
	counters map[string]*counter
	workers  map[string]*workerState
	// Runs that urgent jobs may preempt, by team and job id.
	preemptible map[string]map[string]*record
	// Number of workers held for waiting jobs, by team.
	heldByTeam map[string]int
	// Jobs whose start is stored but wasn't sent to the worker.
	unsent     map[string]*record
	runsDue    *duequeue.Queue
	workersDue *duequeue.Queue
	// Transaction whose outcome is unknown, nil if there is none.
	inDoubt *batch
	index   *placement.Index
	picker  *fairshare.Picker
	ledger  *quarantine.Ledger
	sizes   *vmsizes.Set
	ladder  *reclaim.Ladder
	// Time of the VM list that was last applied.
	fleetAsOfMS        int64
	nextCleanupMS      int64
	nextWorkerUpdateMS int64
	// Time of the last successful read of the inbox.
	tableReachedMS int64
	tableOutage    bool
	teams          map[string]team.Team
}

// StepMS is the interval between calls of Step, in milliseconds.
const StepMS = 200

// OutageLeaseMS is the length of run leases while the table is unreachable, in milliseconds. It lets runs continue although the scheduler lease, and with it theirs, can't be renewed.
const OutageLeaseMS = 2 * 60 * 60 * 1000

const (
	outageAfterMS           = 2000
	tableTimeoutMS          = 1000
	pollIntervalMS          = 500
	pollIntervalPerWorkerMS = 10
	idlePollIntervalMS      = 5000
	sendTimeoutMS           = 1000
	renewsPerLease          = 3
	ladderStepMS            = 3000
	checkpointTimeoutMS     = 2000
	startDeadlineMS         = 2000
	drainGraceMS            = 5000
	holdAfterMS             = 30 * 1000
	workerUpdateIntervalMS  = 1000
	cleanupIntervalMS       = 10 * 1000
	batchSize               = 64
	inboxBatchSize          = 256
	maxStartsPerStep        = 256
	maxCommitConflicts      = 4
	maxVictimSamples        = 32
)

// Step polls the runs, stores state changes and starts jobs that fit; it must be called every StepMS. Without the lease it discards all state and returns code.LeaseLapsed.
func (sc *Scheduler) Step(ctx context.Context) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.Held() {
		sc.st = nil
		return code.LeaseLapsed
	}
	if sc.st == nil {
		if err := sc.rebuild(ctx); err != nil {
			sc.st = nil
			return err
		}
	}
	sc.refreshFleet()
	sc.refreshTeams()
	sc.followRuns(ctx)
	return sc.runTableSteps(ctx)
}

// runTableSteps runs the parts of Step that need the table, all within tableTimeoutMS.
func (sc *Scheduler) runTableSteps(ctx context.Context) error {
	sub, cancel := sc.Clock.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	for _, step := range []func(context.Context) error{sc.resolveInDoubt, sc.sendUnsent, sc.readInbox, sc.flush, sc.place, sc.cleanUp} {
		if err := step(sub); err != nil {
			return err
		}
	}
	return nil
}

// runLeaseMS returns the length of a run lease that is granted or renewed now.
func (sc *Scheduler) runLeaseMS() int64 {
	lengthMS, _ := sc.Timing()
	if sc.st.tableOutage {
		return max(lengthMS, OutageLeaseMS)
	}
	return lengthMS
}

func (sc *Scheduler) newState() *state {
	sc.term++
	if sc.estimator == nil {
		sc.estimator = usage.New(sc.Clock)
	}
	return &state{
		jobs:           map[string]*record{},
		dirty:          map[string]*record{},
		counters:       map[string]*counter{},
		workers:        map[string]*workerState{},
		preemptible:    map[string]map[string]*record{},
		heldByTeam:     map[string]int{},
		unsent:         map[string]*record{},
		runsDue:        duequeue.New(),
		workersDue:     duequeue.New(),
		index:          placement.New(uint64(sc.Clock.Now())),
		picker:         fairshare.New(),
		ledger:         quarantine.New(sc.Clock),
		sizes:          vmsizes.New(sc.Clock),
		ladder:         reclaim.New(sc.Clock, ladderStepMS),
		fleetAsOfMS:    -1,
		tableReachedMS: sc.Clock.Now(),
		teams:          map[string]team.Team{},
	}
}

// operationPrefix returns the prefix of the operation ids of the current term.
func (sc *Scheduler) operationPrefix() string {
	return fmt.Sprintf("%s-jobs-%d-", sc.Incarnation, sc.term)
}

func (sc *Scheduler) nextOperation() string {
	sc.seq++
	return fmt.Sprintf("%s%d", sc.operationPrefix(), sc.seq)
}
