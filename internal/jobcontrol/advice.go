package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

// ticket lets a VM run a step until a time.
type ticket struct {
	text    string
	bornMS  int64
	untilMS int64
}

const (
	// advisedVMs is how many VMs one request names; each costs the advising service time.
	advisedVMs = 30
	// ticketMarginMS is left of a ticket when a start is ordered with it.
	ticketMarginMS = 300
	// adviceGapMS is the pause between requests for one step.
	adviceGapMS = 500
)

// ticketed returns the VMs of a pool that have a ticket for the step, and asks for more if there are none with room.
func (ct *Controller) ticketed(st *step, pool []*vm, nowMS int64) []*vm {
	var out []*vm
	room := false
	for _, on := range pool {
		if _, ok := st.ticket(on, nowMS); ok {
			out = append(out, on)
			room = room || st.need().Fits(on.free())
		}
	}
	if !room {
		ct.askAdvice(st, pool, nowMS)
	}
	return out
}

// ticket returns the valid ticket of a VM's present life.
func (st *step) ticket(on *vm, nowMS int64) (string, bool) {
	tc, ok := st.tickets[on.id]
	if !ok || tc.bornMS != on.bornMS || nowMS > tc.untilMS-ticketMarginMS {
		return "", false
	}
	return tc.text, true
}

// askAdvice asks about the VMs with room that have no ticket, in the order of the pool.
func (ct *Controller) askAdvice(st *step, pool []*vm, nowMS int64) {
	if st.asking || nowMS-st.askedMS < adviceGapMS {
		return
	}
	rq := &workpb.AdviceRequest{Job: st.oc.jb.row.GetId(), Occurrence: int32(st.oc.number), Step: int32(st.number)}
	for _, on := range pool {
		if len(rq.GetVms()) == advisedVMs {
			break
		}
		if _, ok := st.ticket(on, nowMS); !ok && st.need().Fits(on.free()) && !st.refused[on.id] {
			rq.Vms = append(rq.Vms, on.id)
		}
	}
	if len(rq.GetVms()) == 0 {
		return
	}
	st.asking, st.askedMS = true, nowMS
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
	st.asking = false
	if ad == nil {
		return
	}
	if st.tickets == nil {
		st.tickets, st.refused = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range rq.GetVms() {
		text, good := ad.GetTickets()[id]
		st.refused[id] = !good
		if on, known := ct.vms[id]; good && known {
			st.tickets[id] = ticket{text: text, bornMS: on.bornMS, untilMS: sentMS + ad.GetValidMs()}
		}
	}
}
