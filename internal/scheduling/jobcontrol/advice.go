package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// ticket permits a VM to run a step until the ticket expires.
type ticket struct {
	text      string
	vmStartMS int64
	expiresMS int64
}

const (
	// maxAdviceVMs is the maximum number of VMs that one request names; each costs the advising service time.
	maxAdviceVMs = 30
	// maxAdviceInFlight is the maximum number of requests under way: the service handles one at a time, and one waits for its turn. The others would only grow old there.
	maxAdviceInFlight = 2
	// ticketMarginMS is the minimum remaining validity of a ticket with which a start is ordered.
	ticketMarginMS = 300
	// adviceIntervalMS is the minimum interval between requests for one step.
	adviceIntervalMS = 500
)

// vmsWithTicket returns the VMs of a pool that have a ticket for the step, and requests more tickets if none of them has enough free resources.
func (ct *Controller) vmsWithTicket(st *step, pool []*vmState, nowMS int64) []*vmState {
	var out []*vmState
	hasCapacity := false
	for _, vm := range pool {
		if _, ok := st.validTicket(vm, nowMS); ok {
			out = append(out, vm)
			hasCapacity = hasCapacity || st.need().Fits(vm.free())
		}
	}
	if !hasCapacity {
		ct.requestAdvice(st, pool, nowMS)
	}
	return out
}

// validTicket returns the unexpired ticket issued for the VM's current incarnation.
func (st *step) validTicket(vm *vmState, nowMS int64) (string, bool) {
	tc, ok := st.tickets[vm.id]
	if !ok || tc.vmStartMS != vm.startMS || nowMS > tc.expiresMS-ticketMarginMS {
		return "", false
	}
	return tc.text, true
}

// requestAdvice requests tickets for VMs with enough free resources that have none, in pool order, leaving out VMs that were refused.
func (ct *Controller) requestAdvice(st *step, pool []*vmState, nowMS int64) {
	if ct.adviceInFlight >= maxAdviceInFlight || st.advicePending || nowMS-st.adviceRequestedMS < adviceIntervalMS {
		return
	}
	st.adviceVMs = map[string]int64{}
	rq := &workpb.AdviceRequest{Job: st.oc.jb.row.GetId(), Occurrence: int32(st.oc.number), Step: int32(st.number)}
	for _, vm := range pool {
		if len(rq.GetVms()) == maxAdviceVMs {
			break
		}
		if _, ok := st.validTicket(vm, nowMS); !ok && st.need().Fits(vm.free()) && !st.refused[vm.id] {
			rq.Vms = append(rq.Vms, vm.id)
			st.adviceVMs[vm.id] = vm.startMS
		}
	}
	if len(rq.GetVms()) == 0 {
		return
	}
	st.advicePending, st.adviceRequestedMS = true, nowMS
	ct.adviceInFlight++
	ct.advice = append(ct.advice, rq)
}

// AdviceRequests returns and clears the requests to be made.
func (ct *Controller) AdviceRequests() []*workpb.AdviceRequest {
	out := ct.advice
	ct.advice = nil
	return out
}

// HandleAdvice records the answer to a request that was sent at sentMS, nil if there was none. Refusals are kept, since the set of VMs that may run a step doesn't change.
func (ct *Controller) HandleAdvice(rq *workpb.AdviceRequest, sentMS int64, ad *workpb.Advice) {
	ct.adviceInFlight--
	jb, ok := ct.jobs[rq.GetJob()]
	if !ok {
		return
	}
	oc := jb.occurrence(int(rq.GetOccurrence()))
	if oc == nil {
		return
	}
	st := oc.steps[rq.GetStep()]
	st.advicePending = false
	if ad == nil {
		return
	}
	if st.tickets == nil {
		st.tickets, st.refused = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range rq.GetVms() {
		text, issued := ad.GetTickets()[id]
		st.refused[id] = !issued
		if vmStartMS, requested := st.adviceVMs[id]; issued && requested {
			st.tickets[id] = ticket{text: text, vmStartMS: vmStartMS, expiresMS: sentMS + ad.GetValidMs()}
		}
	}
}
