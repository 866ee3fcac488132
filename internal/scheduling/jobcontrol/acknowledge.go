package jobcontrol

import "math"

// endMark is the number of a run end in one incarnation of its VM.
type endMark struct {
	startMS int64
	number  int64
}

// storedEnd is the number of a run end whose effect is stored once all parts up to a turn are.
type storedEnd struct {
	number int64
	turn   int64
}

// acknowledge adds to a batch the run ends whose effects are stored with it or before.
func (ct *Controller) acknowledge(bt *Batch, nowMS int64) {
	oldest := int64(math.MaxInt64)
	for _, pt := range ct.waitingParts {
		if !pt.jb.aside(nowMS) {
			oldest = min(oldest, pt.turn)
		}
	}
	for _, vm := range ct.vms {
		number := vm.stored
		for len(vm.unstoredEnds) > 0 && vm.unstoredEnds[0].turn < oldest {
			number = max(number, vm.unstoredEnds[0].number)
			vm.unstoredEnds = vm.unstoredEnds[1:]
		}
		if number > vm.stored {
			bt.acknowledged[vm] = endMark{startMS: vm.startMS, number: number}
		}
	}
}
