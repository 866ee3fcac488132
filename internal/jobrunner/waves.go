package jobrunner

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/ownership"
	"github.com/fulmarloft/fulmarloft/internal/upkeep"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// waves drives all maintenance waves of one ownership.
type waves struct {
	rn       *Runner
	drivers  map[int64]*drive
	restored map[int64]*workpb.Upkeep
	machines []*workpb.Machine
	readMS   int64
	reading  bool
	nextMS   int64
	emptyMS  int64
}

type drive struct {
	wave *workpb.Wave
	up   *upkeep.Upkeep
	// row is the last state that was stored or is being stored.
	row    *workpb.Upkeep
	orders []string
	// told is 0 before the operators were told anything, then the state that they were told.
	told    toldState
	telling bool
}

type toldState int

const (
	toldNothing toldState = iota
	toldRunning
	toldCompleted
)

const (
	// listGapMS is the pause between reads of the list of machines.
	listGapMS = 700
	// emptyGapMS is the pause between steps of emptying VMs.
	emptyGapMS = 100
	// tellRetryMS is the pause after the operators couldn't be told.
	tellRetryMS = 500
)

func newWaves(rn *Runner) *waves {
	return &waves{rn: rn, drivers: map[int64]*drive{}, restored: map[int64]*workpb.Upkeep{}}
}

// restore reads how far an earlier owner has come.
func (wv *waves) restore(ctx context.Context) error {
	list, _, err := wv.rn.ln.Store.ReadAll(ctx, upkeepTable, ownership.Part)
	if err != nil {
		return err
	}
	for _, rw := range list {
		row := &workpb.Upkeep{}
		if err := proto.Unmarshal(rw.Value(), row); err != nil {
			return code.Internal.Wrap(err)
		}
		wv.restored[row.GetWave()] = row
	}
	return nil
}

func (wv *waves) step(ctx context.Context) {
	for _, wave := range wv.rn.ln.Waves() {
		if _, ok := wv.drivers[wave.GetNumber()]; !ok {
			wv.begin(wave)
		}
	}
	nowMS := wv.rn.ck.Now()
	if !wv.reading && nowMS >= wv.nextMS {
		wv.reading = true
		go wv.read(ctx)
	}
	for _, dr := range wv.drivers {
		wv.tell(ctx, dr)
		if nowMS >= wv.emptyMS && wv.rn.ow.Held() {
			dr.up.Empty(nowMS)
		}
	}
	if nowMS >= wv.emptyMS {
		wv.emptyMS = nowMS + emptyGapMS
	}
}

func (wv *waves) begin(wave *workpb.Wave) {
	ct := wv.rn.ct
	dr := &drive{wave: wave, up: upkeep.New(wave, ct.Cordon, ct.Evacuate, ct.Load, ct.HasLasting)}
	if row, ok := wv.restored[wave.GetNumber()]; ok {
		dr.up.Restore(row)
		dr.row = row
	}
	wv.drivers[wave.GetNumber()] = dr
	wv.rn.lg.Info("wave-taken-up", "wave", wave.GetNumber(), "machines", len(wave.GetMachines()), "at-once", wave.GetAtOnce(), "duration-ms", wave.GetDurationMs())
}

// busy reports whether a wave has a machine in hand.
func (wv *waves) busy(machine string) bool {
	for _, dr := range wv.drivers {
		if dr.up.Busy(machine) {
			return true
		}
	}
	return false
}

func (wv *waves) read(ctx context.Context) {
	readMS := wv.rn.ck.Now()
	list, err := wv.rn.ln.Machines(ctx)
	wv.rn.post(ctx, func() {
		wv.reading = false
		wv.nextMS = wv.rn.ck.Now() + listGapMS
		if err != nil {
			wv.rn.lg.Fail("machines-unread", err)
			return
		}
		wv.machines, wv.readMS = list, readMS
		wv.rn.ct.SetMachines(readMS, list)
		wv.advance()
	})
}

// advance lets each wave take its next steps.
func (wv *waves) advance() {
	nowMS := wv.rn.ck.Now()
	if !wv.rn.ow.Held() {
		return
	}
	for _, dr := range wv.drivers {
		dr.orders = dr.up.Step(nowMS, wv.readMS, wv.machines)
	}
}

// unstored returns the progress of waves that changed since it was stored.
func (wv *waves) unstored() []*workpb.Upkeep {
	var out []*workpb.Upkeep
	for _, dr := range wv.drivers {
		row := dr.up.Row()
		if len(dr.orders) > 0 || !proto.Equal(row, dr.row) {
			dr.row = row
			out = append(out, row)
		}
	}
	return out
}

// stored sends the orders of waves whose progress is stored.
func (wv *waves) stored(ctx context.Context, rows []*workpb.Upkeep) {
	for _, row := range rows {
		dr := wv.drivers[row.GetWave()]
		for _, id := range dr.orders {
			go wv.maintain(ctx, dr, id)
		}
		dr.orders = nil
	}
}

func (wv *waves) maintain(ctx context.Context, dr *drive, id string) {
	rn := wv.rn
	if !rn.ow.Held() {
		return
	}
	err := rn.ln.Maintain(ctx, id, dr.wave.GetNumber(), rn.ow.Token())
	rn.post(ctx, func() {
		rn.lg.Info("maintenance-ordered", "wave", dr.wave.GetNumber(), "machine", id, "code", int(code.Of(err)))
		switch code.Of(err) {
		case code.OK:
			dr.up.Accepted(id, rn.ck.Now())
		case code.LeaseLapsed:
			rn.lost = true
		case code.TableInDoubt:
		default:
			dr.up.Refused(id)
		}
	})
}

// tell stores for the operators that a wave is running or completed.
func (wv *waves) tell(ctx context.Context, dr *drive) {
	want := toldRunning
	if dr.up.Done() {
		want = toldCompleted
	}
	if dr.telling || dr.told == want {
		return
	}
	dr.telling = true
	go func() {
		err := wv.rn.ln.WaveStatus(ctx, dr.wave.GetNumber(), want == toldCompleted)
		if err != nil {
			_ = wv.rn.ck.Sleep(ctx, tellRetryMS)
		}
		wv.rn.post(ctx, func() {
			dr.telling = false
			if err != nil {
				wv.rn.lg.Fail("wave-status-unwritten", err, "wave", dr.wave.GetNumber())
				return
			}
			dr.told = want
		})
	}()
}
