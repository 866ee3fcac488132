package jobrunner

import (
	"context"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenance"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// waves runs the maintenance waves during one ownership.
type waves struct {
	rn       *Runner
	drivers  map[int64]*waveDriver
	restored map[int64]*workpb.Upkeep
	// unreadable holds the keys of the stored states that couldn't be read.
	unreadable map[string]bool
	machines   []*workpb.Machine
	listReadMS int64
	// listUnused is set while the waves haven't been moved forward with the last list.
	listUnused  bool
	reading     bool
	nextReadMS  int64
	nextDrainMS int64
}

// waveDriver carries out one wave as the operators specified it, with its stored state and the status published to the operators.
type waveDriver struct {
	spec *workpb.Wave
	wave *maintenance.Wave
	// storedRow is the last state that was stored or is being stored.
	storedRow *workpb.Upkeep
	// orders lists the machines whose maintenance is to be ordered once storedRow is stored, sending those whose order has no answer yet.
	orders  []string
	sending map[string]bool
	// reported is the status last published to the operators.
	reported  reportedStatus
	reporting bool
}

type reportedStatus int

const (
	reportedNone reportedStatus = iota
	reportedRunning
	reportedCompleted
)

const (
	// listIntervalMS is the pause between reads of the list of machines; it grows by one millisecond for every machinesPerListMS machines, since the list grows with them.
	listIntervalMS    = 700
	machinesPerListMS = 2
	// drainIntervalMS is how often VMs in maintenance waves are drained further.
	drainIntervalMS = 100
	// statusRetryMS is the pause after publishing a wave status failed.
	statusRetryMS = 500
)

func newWaves(rn *Runner) *waves {
	return &waves{rn: rn, drivers: map[int64]*waveDriver{}, restored: map[int64]*workpb.Upkeep{}, unreadable: map[string]bool{}}
}

// restore takes up the wave states that an earlier owner stored. A wave whose state is unreadable isn't driven, since the machines that it has down aren't known; jobs and other waves go on.
func (wv *waves) restore(list []rowstore.Row) {
	for _, rw := range list {
		row := &workpb.Upkeep{}
		err := proto.Unmarshal(rw.Value(), row)
		if key := strconv.FormatInt(row.GetWave(), 10); err == nil && key != rw.Key() {
			err = code.BodyBroken.New("the row holds wave %s", key)
		}
		if err != nil {
			wv.rn.lg.Fail("wave-state-unreadable", err, "wave", rw.Key())
			wv.unreadable[rw.Key()] = true
			continue
		}
		wv.restored[row.GetWave()] = row
	}
}

func (wv *waves) step(ctx context.Context) {
	for _, spec := range wv.rn.deps.Waves() {
		if _, ok := wv.drivers[spec.GetNumber()]; !ok && !wv.unreadable[strconv.FormatInt(spec.GetNumber(), 10)] {
			wv.addDriver(spec)
		}
	}
	nowMS := wv.rn.ck.Now()
	if !wv.reading && nowMS >= wv.nextReadMS {
		wv.reading = true
		go wv.readMachines(ctx)
	}
	wv.advance()
	for _, dr := range wv.drivers {
		wv.reportStatus(ctx, dr)
		if nowMS >= wv.nextDrainMS && wv.rn.ow.Held() {
			dr.wave.Drain(nowMS)
		}
	}
	if nowMS >= wv.nextDrainMS {
		wv.nextDrainMS = nowMS + drainIntervalMS
	}
}

func (wv *waves) addDriver(spec *workpb.Wave) {
	ct := wv.rn.ct
	dr := &waveDriver{spec: spec, sending: map[string]bool{}, wave: maintenance.New(spec, ct.Cordon, ct.Evacuate, ct.Load, ct.HasLasting)}
	dr.wave.OnDone = func(machine, reason string, readMS int64) {
		wv.rn.lg.Info("machine-maintained", "wave", spec.GetNumber(), "machine", machine, "reason", reason, "list-read-ms", readMS)
	}
	if row, ok := wv.restored[spec.GetNumber()]; ok {
		dr.wave.Restore(row)
		dr.storedRow = row
	}
	wv.drivers[spec.GetNumber()] = dr
	wv.rn.lg.Info("wave-taken-up", "wave", spec.GetNumber(), "machines", len(spec.GetMachines()), "at-once", spec.GetAtOnce(), "duration-ms", spec.GetDurationMs())
}

// inProgress reports whether a machine is in maintenance or being drained for it.
func (wv *waves) inProgress(machine string) bool {
	for _, dr := range wv.drivers {
		if dr.wave.InProgress(machine) {
			return true
		}
	}
	return false
}

func (wv *waves) readMachines(ctx context.Context) {
	readMS := wv.rn.ck.Now()
	list, err := wv.rn.deps.Machines(ctx)
	wv.rn.post(ctx, func() {
		wv.reading = false
		wv.nextReadMS = wv.rn.ck.Now() + listIntervalMS + int64(len(list))/machinesPerListMS
		if err != nil {
			wv.rn.lg.Fail("machines-unread", err)
			return
		}
		wv.machines, wv.listReadMS = list, readMS
		wv.rn.ct.SetMachines(readMS, list)
		wv.listUnused = true
		wv.advance()
	})
}

// advance moves each wave forward with the last list of machines, once the ownership is held.
func (wv *waves) advance() {
	nowMS := wv.rn.ck.Now()
	if !wv.listUnused || !wv.rn.ow.Held() {
		return
	}
	wv.listUnused = false
	due := map[string]bool{}
	for _, dr := range wv.drivers {
		dr.orders = dr.wave.Step(nowMS, wv.listReadMS, wv.machines)
		for _, id := range dr.wave.Waiting() {
			due[id] = true
		}
	}
	wv.rn.ct.SetMaintenanceDue(due)
}

// changedRows returns the states of waves that differ from what is stored or whose orders wait for a commit, as far as take takes them for the next commit.
func (wv *waves) changedRows(take func(*workpb.Upkeep) bool) []*workpb.Upkeep {
	var out []*workpb.Upkeep
	for _, dr := range wv.drivers {
		row := dr.wave.Row()
		if (len(dr.orders) > 0 || !proto.Equal(row, dr.storedRow)) && take(row) {
			dr.storedRow = row
			out = append(out, row)
		}
	}
	return out
}

// rowsRefused records that the store has taken none of some states.
func (wv *waves) rowsRefused(rows []*workpb.Upkeep) {
	for _, row := range rows {
		wv.drivers[row.GetWave()].storedRow = nil
	}
}

// rowsStored sends the maintenance orders that the rows just stored contain.
func (wv *waves) rowsStored(ctx context.Context, rows []*workpb.Upkeep) {
	for _, row := range rows {
		dr := wv.drivers[row.GetWave()]
		var unstored []string
		for _, id := range dr.orders {
			switch {
			case !slices.Contains(row.GetOrdered(), id):
				unstored = append(unstored, id)
			case !dr.sending[id] && wv.rn.ow.Held():
				dr.sending[id] = true
				go wv.orderMaintenance(ctx, dr, id)
			}
		}
		dr.orders = unstored
	}
}

func (wv *waves) orderMaintenance(ctx context.Context, dr *waveDriver, id string) {
	rn := wv.rn
	limited, cancel := rn.withinLease(ctx)
	defer cancel()
	err := rn.deps.Maintain(limited, id, dr.spec.GetNumber(), rn.ow.Token())
	rn.post(ctx, func() {
		delete(dr.sending, id)
		rn.lg.Info("maintenance-ordered", "wave", dr.spec.GetNumber(), "machine", id, "code", int(code.Of(err)))
		switch code.Of(err) {
		case code.OK:
			dr.wave.RecordAccepted(id, rn.ck.Now())
		case code.LeaseLapsed:
			rn.ownershipLost = true
		case code.TableInDoubt:
			dr.wave.RecordUnanswered(id)
		default:
			dr.wave.RecordRefused(id)
		}
	})
}

// reportStatus publishes whether a wave is running or completed when that has changed.
func (wv *waves) reportStatus(ctx context.Context, dr *waveDriver) {
	status := reportedRunning
	if dr.wave.Done() {
		status = reportedCompleted
	}
	if dr.reporting || dr.reported == status {
		return
	}
	dr.reporting = true
	go func() {
		ctx := sendcheck.With(ctx, wv.rn.ow.Held)
		err := wv.rn.deps.WaveStatus(ctx, dr.spec.GetNumber(), status == reportedCompleted)
		if err != nil {
			_ = wv.rn.ck.Sleep(ctx, statusRetryMS)
		}
		wv.rn.post(ctx, func() {
			dr.reporting = false
			if err != nil {
				wv.rn.lg.Fail("wave-status-unwritten", err, "wave", dr.spec.GetNumber())
				return
			}
			dr.reported = status
		})
	}()
}
