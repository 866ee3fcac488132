package entry

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobapi"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/scheduler"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/vmsizes"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

const (
	jobsLease              = "jobs"
	workerRowsIntervalMS   = 500
	maxParallelWorkerCalls = 64
	kindWorker             = "worker"
	defaultJobTimingMS     = 600_000
)

// jobsPart accepts jobs from callers and, while it holds the jobs lease, places them on workers.
type jobsPart struct {
	sc  *scheduler.Scheduler
	api *jobapi.API

	mu sync.RWMutex
	// listAsOfMS is the time of the VM list from which addresses and sizes were last updated.
	listAsOfMS int64
	addresses  map[string]string
	sizes      *vmsizes.Set
	// conditions maps each worker VM that takes work to the condition on its row.
	conditions map[string]*platformpb.Condition
	// draining holds the worker VMs that are being drained.
	draining map[string]bool
}

// wireJobs creates the scheduler and the job API and starts their loops.
func (en *Entry) wireJobs() error {
	pt := &en.jobs
	pt.sc = &scheduler.Scheduler{
		Clock: en.ck, Table: en.tab, Log: en.lg, Metric: en.mt, Incarnation: en.incarnation, Parallel: maxParallelWorkerCalls,
		Held:  func() bool { return en.fleet.leases.Held(jobsLease) },
		Teams: en.jobTeams, Timing: en.jobTiming, Fleet: en.vms.List, Condition: pt.condition, Draining: pt.isDraining,
		Send: en.sendTask, Reports: en.taskReports,
	}
	pt.api = &jobapi.API{
		Clock: en.ck, Table: en.tab, Log: en.lg, Metric: en.mt,
		Authenticate: en.authenticate, CheckKeyed: en.checkKeyed, Impossible: en.impossible,
		Enter: en.dataPath.drain.Enter, Leave: en.dataPath.drain.Leave, Closing: en.dataPath.closing,
		RetentionMS: func() int64 { _, retentionMS := en.jobTiming(); return retentionMS }, NewID: uuid.NewString,
	}
	pt.api.Routes(en.callers)
	en.every(workerRowsIntervalMS, "jobs-vm-rows", en.readWorkerRows)
	en.every(scheduler.StepMS, "jobs", en.stepJobs)
	return nil
}

// stepJobs runs one scheduler step; without the lease it does nothing.
func (en *Entry) stepJobs(ctx context.Context) error {
	err := en.jobs.sc.Step(ctx)
	if code.Of(err) == code.LeaseLapsed {
		return nil
	}
	return err
}

// jobTeams returns the teams, or false while this entry can't confirm that its bundle is the newest.
func (en *Entry) jobTeams() ([]team.Team, bool) {
	if en.checkKeyed() != nil {
		return nil, false
	}
	return en.Bundle().Teams(), true
}

// jobTiming returns the length of a run's lease and the retention period of ended jobs.
func (en *Entry) jobTiming() (leaseMS, retentionMS int64) {
	bd := en.Bundle()
	if bd == nil {
		return defaultJobTimingMS, defaultJobTimingMS
	}
	return bd.JobLeaseMS(), bd.RequestMemoryMS()
}

// readWorkerRows updates which worker VMs take work or are draining, while this entry holds the jobs lease.
func (en *Entry) readWorkerRows(ctx context.Context) error {
	bd := en.Bundle()
	if bd == nil || !en.fleet.leases.Held(jobsLease) {
		return nil
	}
	conditions, draining := map[string]*platformpb.Condition{}, map[string]bool{}
	for _, pl := range bd.Pools() {
		if !pl.IsWorkerPool() {
			continue
		}
		vms, err := en.fleet.fl.Members(ctx, pl.Name())
		if err != nil {
			return err
		}
		for _, vm := range vms {
			if vm.Serving() {
				conditions[vm.Name()] = vm.Condition()
			}
			if vm.State() == fleetpb.VMState_VM_STATE_DRAINING {
				draining[vm.Name()] = true
			}
		}
	}
	en.jobs.mu.Lock()
	defer en.jobs.mu.Unlock()
	en.jobs.conditions, en.jobs.draining = conditions, draining
	return nil
}

func (pt *jobsPart) condition(vm string) *platformpb.Condition {
	pt.mu.RLock()
	defer pt.mu.RUnlock()
	return pt.conditions[vm]
}

func (pt *jobsPart) isDraining(vm string) bool {
	pt.mu.RLock()
	defer pt.mu.RUnlock()
	return pt.draining[vm]
}

// refreshWorkers updates the addresses and sizes of the workers if the VM list has changed.
func (en *Entry) refreshWorkers() {
	pt := &en.jobs
	list := en.vms.List()
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if pt.sizes == nil {
		pt.sizes = vmsizes.New(en.ck)
	}
	if list.GetAsOfMs() == pt.listAsOfMS {
		return
	}
	pt.listAsOfMS = list.GetAsOfMs()
	pt.addresses = map[string]string{}
	for _, vm := range list.GetVms() {
		if vm.GetKind() == kindWorker {
			pt.addresses[vm.GetName()] = vm.GetAddress()
			pt.sizes.Put(size.OfCores(float64(vm.GetCores()), int64(vm.GetMemoryMb()), int64(vm.GetAccelerators())))
		}
	}
}

// impossible reports whether no worker VM is large enough, even when empty.
func (en *Entry) impossible(need size.Size) bool {
	en.refreshWorkers()
	en.jobs.mu.RLock()
	defer en.jobs.mu.RUnlock()
	return en.jobs.sizes.Impossible(need)
}

func (en *Entry) workerAddress(vm string) (string, error) {
	en.refreshWorkers()
	en.jobs.mu.RLock()
	defer en.jobs.mu.RUnlock()
	addr, ok := en.jobs.addresses[vm]
	if !ok {
		return "", code.EndpointRefused.New("worker %s is not in the VM list", vm)
	}
	return addr, nil
}

func (en *Entry) sendTask(ctx context.Context, vm string, task *platformpb.Task) (*platformpb.TaskReport, error) {
	addr, err := en.workerAddress(vm)
	if err != nil {
		return nil, err
	}
	return en.platform.Task(ctx, addr, task)
}

func (en *Entry) taskReports(ctx context.Context, vm string) (*platformpb.TaskReports, error) {
	addr, err := en.workerAddress(vm)
	if err != nil {
		return nil, err
	}
	return en.platform.Reports(ctx, addr)
}

// workerBusy reports whether a worker VM still runs jobs, for which a drain must wait; VMs that aren't workers are never busy. A VM that isn't listed can't be asked and counts as busy.
func (en *Entry) workerBusy(ctx context.Context, vm string) (bool, error) {
	listed := en.vms.Named(vm)
	if listed == nil {
		return true, code.VMUnknown.New("VM %s is not in the VM list, whether it runs jobs is unknown", vm)
	}
	if listed.GetKind() != kindWorker {
		return false, nil
	}
	reps, err := en.platform.Reports(ctx, listed.GetAddress())
	if err != nil {
		return true, err
	}
	for _, rep := range reps.GetReports() {
		if rep.GetState() == job.ReportRunning {
			return true, nil
		}
	}
	return false, nil
}
