package zonemodel

// dispatch sends queued calls while the entry finds a slot that its strategy allows it to use.
func (md *Model) dispatch(en *entry) {
	for {
		cl := md.nextCall(en)
		if cl == nil {
			return
		}
		ep, probe := md.chooseEndpoint(en)
		if ep < 0 {
			return
		}
		en.probing = en.probing || probe
		en.queues[cl.team] = en.queues[cl.team][1:]
		en.queued--
		md.send(en, ep, cl, probe)
	}
}

// nextCall returns the first queued call of the team with the least run time relative to its share, after dropping expired calls, or nil if all queues are empty.
func (md *Model) nextCall(en *entry) *call {
	best := -1
	for team := range en.queues {
		for len(en.queues[team]) > 0 && en.queues[team][0].deadlineMS <= md.eq.nowMS+startMarginMS {
			en.queues[team] = en.queues[team][1:]
			en.queued--
			md.expired++
		}
		if len(en.queues[team]) == 0 {
			continue
		}
		if best < 0 || en.runMSByTeam[team]/teamShares[team] < en.runMSByTeam[best]/teamShares[best] {
			best = team
		}
	}
	if best < 0 {
		return nil
	}
	return en.queues[best][0]
}

// chooseEndpoint returns the less loaded of two random endpoints that the entry may use, or -1 if there is none, and whether the call is a probe beyond the entry's slot allocation.
func (md *Model) chooseEndpoint(en *entry) (int, bool) {
	if ep := md.lessLoadedOfTwo(en, func(i int) int { return md.slotLimit(en, i) }); ep >= 0 {
		return ep, false
	}
	if md.strategy != PartitionedProbing || en.probing || md.eq.nowMS < en.nextProbeMS {
		return -1, false
	}
	return md.lessLoadedOfTwo(en, func(int) int { return slotsPerEndpoint }), true
}

// lessLoadedOfTwo draws two endpoints at random from those where the entry is below slotLimit and that are neither full nor ejected, and returns the one with the lower cost, or -1 if there is none.
func (md *Model) lessLoadedOfTwo(en *entry, slotLimit func(ep int) int) int {
	var candidates []int
	for i := range md.endpoints {
		if en.inFlight[i] < slotLimit(i) && en.fullUntilMS[i] <= md.eq.nowMS && en.ejectedUntilMS[i] <= md.eq.nowMS {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	a, b := candidates[md.rnd.IntN(len(candidates))], candidates[md.rnd.IntN(len(candidates))]
	if md.cost(en, b) < md.cost(en, a) {
		return b
	}
	return a
}

// slotLimit returns how many slots of the endpoint the entry may use.
func (md *Model) slotLimit(en *entry, ep int) int {
	if md.strategy == Partitioned || md.strategy == PartitionedProbing {
		return en.allocator.Allocation("service", ep, endpointCount, slotsPerEndpoint)
	}
	return slotsPerEndpoint
}

// cost returns the entry's calls in flight to the endpoint, plus a penalty for the last failure that decreases linearly.
func (md *Model) cost(en *entry, ep int) float64 {
	cost := float64(en.inFlight[ep])
	if en.lastFailureMS[ep] > 0 {
		cost += slotsPerEndpoint * max(0, 1-(md.eq.nowMS-en.lastFailureMS[ep])/penaltyMS)
	}
	return cost
}

func (md *Model) send(en *entry, ep int, cl *call, probe bool) {
	en.inFlight[ep]++
	cl.tries++
	md.attempts++
	md.eq.after(sendMS, func() { md.start(en, ep, cl, probe) })
}

// start handles a call that reached its endpoint, which fails, refuses or runs it.
func (md *Model) start(en *entry, ep int, cl *call, probe bool) {
	en.probing = en.probing && !probe
	mn := md.endpoints[ep]
	switch {
	case mn.fails:
		md.eq.after(failMS, func() {
			md.recordFailure(en, ep)
			md.retry(en, cl)
		})
	case mn.busy >= slotsPerEndpoint:
		md.requeueRefused(en, ep, cl, probe)
	default:
		mn.busy++
		if probe {
			en.probePauseMS = 0
		}
		runMS := md.rnd.ExpFloat64() * meanRunMS * mn.slowdown
		_ = md.wait.RecordValue(int64((md.eq.nowMS - cl.arrivedMS) * usPerMS))
		md.eq.after(runMS, func() { md.complete(en, ep, cl, runMS) })
		md.dispatch(en)
	}
}

// requeueRefused puts a refused call back at the head of its queue and avoids the endpoint for refusalPauseMS. After a refused probe it also delays the next one, for longer each time.
func (md *Model) requeueRefused(en *entry, ep int, cl *call, probe bool) {
	md.refused++
	cl.tries--
	en.fullUntilMS[ep] = md.eq.nowMS + refusalPauseMS
	if probe {
		en.probePauseMS = min(2*en.probePauseMS+refusalPauseMS, maxProbePauseMS)
		en.nextProbeMS = md.eq.nowMS + en.probePauseMS
	}
	en.queues[cl.team] = append([]*call{cl}, en.queues[cl.team]...)
	en.queued++
	md.release(en, ep)
	md.eq.after(refusalPauseMS, func() { md.dispatch(en) })
}

// complete records a call that ran to its end and frees its slot.
func (md *Model) complete(en *entry, ep int, cl *call, runMS float64) {
	md.endpoints[ep].busy--
	en.fullUntilMS[ep] = 0
	en.runMSByTeam[cl.team] += runMS
	md.runMSByTeam[cl.team] += runMS
	en.failuresInRow[ep] = 0
	if md.eq.nowMS <= min(cl.deadlineMS, md.endMS) {
		md.inTime++
	}
	md.release(en, ep)
}

// recordFailure records a failure of the endpoint. From ejectAfterFailures in a row on, it ejects the endpoint, for longer each time.
func (md *Model) recordFailure(en *entry, ep int) {
	en.lastFailureMS[ep] = md.eq.nowMS
	en.failuresInRow[ep]++
	if en.failuresInRow[ep] >= ejectAfterFailures {
		en.ejectedUntilMS[ep] = md.eq.nowMS + min(ejectMS*float64(en.failuresInRow[ep]-ejectAfterFailures+1), maxEjectMS)
	}
	md.release(en, ep)
}

// release frees the entry's slot at the endpoint and dispatches further calls.
func (md *Model) release(en *entry, ep int) {
	en.inFlight[ep]--
	md.dispatch(en)
}

// retry queues a failed call again until it has been tried maxTries times; the calls of the model are idempotent.
func (md *Model) retry(en *entry, cl *call) {
	if cl.tries < maxTries {
		md.enqueue(en, cl)
	}
}
