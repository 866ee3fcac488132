package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

// ticket lets a VM run a step until a time.
type ticket struct {
	text      string
	vmStartMS int64
	expiresMS int64
}

const (
	// advisedVMs is how many VMs one request names; each costs the advising service time.
	maxAdviceVMs = 30
	// ticketMarginMS is left of a ticket when a start is ordered with it.
	ticketMarginMS = 300
	// adviceGapMS is the pause between requests for one step.
	adviceIntervalMS = 500
)

// ticketed returns the VMs of a pool that have a ticket for the step, and asks for more if there are none with room.
func (ct *Controller) vmsWithTicket(st *step, pool []*vmState, nowMS int64) []*vmState {
	var out []*vmState
	room := false
	for _, vm := range pool {
		if _, ok := st.validTicket(vm, nowMS); ok {
			out = append(out, vm)
			room = room || st.need().Fits(vm.free())
		}
	}
	if !room {
		ct.requestAdvice(st, pool, nowMS)
	}
	return out
}

// ticket returns the valid ticket of a VM's present life.
func (st *step) validTicket(vm *vmState, nowMS int64) (string, bool) {
	tc, ok := st.tickets[vm.id]
	if !ok || tc.vmStartMS != vm.startMS || nowMS > tc.expiresMS-ticketMarginMS {
		return "", false
	}
	return tc.text, true
}

// askAdvice asks about the VMs with room that have no ticket, in the order of the pool.
func (ct *Controller) requestAdvice(st *step, pool []*vmState, nowMS int64) {
	if st.advicePending || nowMS-st.adviceRequestedMS < adviceIntervalMS {
		return
	}
	rq := &workpb.AdviceRequest{Job: st.oc.jb.row.GetId(), Occurrence: int32(st.oc.number), Step: int32(st.number)}
	for _, vm := range pool {
		if len(rq.GetVms()) == maxAdviceVMs {
			break
		}
		if _, ok := st.validTicket(vm, nowMS); !ok && st.need().Fits(vm.free()) && !st.refused[vm.id] {
			rq.Vms = append(rq.Vms, vm.id)
		}
	}
	if len(rq.GetVms()) == 0 {
		return
	}
	st.advicePending, st.adviceRequestedMS = true, nowMS
	ct.advice = append(ct.advice, rq)
}

// AdviceRequests returns the requests to be made, and empties the list.
func (ct *Controller) AdviceRequests() []*workpb.AdviceRequest {
	out := ct.advice
	ct.advice = nil
	return out
}

// HandleAdvice takes up the answer to a request that was sent at sentMS, nil for none; which VMs may run a step doesn't change.
func (ct *Controller) HandleAdvice(rq *workpb.AdviceRequest, sentMS int64, ad *workpb.Advice) {
	jb, ok := ct.jobs[rq.GetJob()]
	if !ok || int(rq.GetOccurrence()) >= len(jb.occurrences) {
		return
	}
	st := jb.occurrences[rq.GetOccurrence()].steps[rq.GetStep()]
	st.advicePending = false
	if ad == nil {
		return
	}
	if st.tickets == nil {
		st.tickets, st.refused = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range rq.GetVms() {
		text, good := ad.GetTickets()[id]
		st.refused[id] = !good
		if vm, known := ct.vms[id]; good && known {
			st.tickets[id] = ticket{text: text, vmStartMS: vm.startMS, expiresMS: sentMS + ad.GetValidMs()}
		}
	}
}
