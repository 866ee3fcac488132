package zonemodel

// dispatch sends queued calls while the entry finds a slot that its strategy allows it to use.
func (md *Model) dispatch(nd *node) {
	for {
		cl := md.nextCall(nd)
		if cl == nil {
			return
		}
		ep, probe := md.chooseEndpoint(nd)
		if ep < 0 {
			return
		}
		nd.probing = nd.probing || probe
		nd.queues[cl.team] = nd.queues[cl.team][1:]
		nd.queued--
		md.send(nd, ep, cl, probe)
	}
}

// nextCall returns the first queued call of the team with the least run time relative to its share, after dropping expired calls, or nil if all queues are empty.
func (md *Model) nextCall(nd *node) *call {
	best := -1
	for team := range nd.queues {
		for len(nd.queues[team]) > 0 && nd.queues[team][0].deadlineMS <= md.eq.nowMS+startMarginMS {
			nd.queues[team] = nd.queues[team][1:]
			nd.queued--
			md.expired++
		}
		if len(nd.queues[team]) == 0 {
			continue
		}
		if best < 0 || nd.runMSByTeam[team]/teamShares[team] < nd.runMSByTeam[best]/teamShares[best] {
			best = team
		}
	}
	if best < 0 {
		return nil
	}
	return nd.queues[best][0]
}

// chooseEndpoint returns the less loaded of two random endpoints that the entry may use, or -1 if there is none, and whether the call is a probe beyond the entry's slot allocation.
func (md *Model) chooseEndpoint(nd *node) (int, bool) {
	if ep := md.lessLoadedOfTwo(nd, func(i int) int { return md.slotLimit(nd, i) }); ep >= 0 {
		return ep, false
	}
	if md.strategy != PartitionedProbing || nd.probing || md.eq.nowMS < nd.nextProbeMS {
		return -1, false
	}
	return md.lessLoadedOfTwo(nd, func(int) int { return slotsPerEndpoint }), true
}

// lessLoadedOfTwo draws two endpoints at random from those where the entry is below slotLimit and that are neither full nor ejected, and returns the one with the lower cost, or -1 if there is none.
func (md *Model) lessLoadedOfTwo(nd *node, slotLimit func(ep int) int) int {
	var candidates []int
	for i := range md.endpoints {
		if nd.inFlight[i] < slotLimit(i) && nd.fullUntilMS[i] <= md.eq.nowMS && nd.ejectedUntilMS[i] <= md.eq.nowMS {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	a, b := candidates[md.rnd.IntN(len(candidates))], candidates[md.rnd.IntN(len(candidates))]
	if md.cost(nd, b) < md.cost(nd, a) {
		return b
	}
	return a
}

// slotLimit returns how many slots of the endpoint the entry may use.
func (md *Model) slotLimit(nd *node, ep int) int {
	if md.strategy == Partitioned || md.strategy == PartitionedProbing {
		return nd.shares.Allocation("service", ep, endpointCount, slotsPerEndpoint)
	}
	return slotsPerEndpoint
}

// cost returns the entry's calls in flight to the endpoint, plus a penalty for the last failure that decreases linearly.
func (md *Model) cost(nd *node, ep int) float64 {
	cost := float64(nd.inFlight[ep])
	if nd.lastFailureMS[ep] > 0 {
		cost += slotsPerEndpoint * max(0, 1-(md.eq.nowMS-nd.lastFailureMS[ep])/penaltyMS)
	}
	return cost
}

func (md *Model) send(nd *node, ep int, cl *call, probe bool) {
	nd.inFlight[ep]++
	cl.tries++
	md.attempts++
	md.eq.after(sendMS, func() { md.start(nd, ep, cl, probe) })
}

// start handles a call that reached its endpoint, which fails, refuses or runs it.
func (md *Model) start(nd *node, ep int, cl *call, probe bool) {
	nd.probing = nd.probing && !probe
	mn := md.endpoints[ep]
	switch {
	case mn.fails:
		md.eq.after(failMS, func() {
			md.recordFailure(nd, ep)
			md.retry(nd, cl)
		})
	case mn.busy >= slotsPerEndpoint:
		md.requeueRefused(nd, ep, cl, probe)
	default:
		mn.busy++
		if probe {
			nd.probePauseMS = 0
		}
		runMS := md.rnd.ExpFloat64() * meanRunMS * mn.slowdown
		_ = md.wait.RecordValue(int64((md.eq.nowMS - cl.arrivedMS) * usPerMS))
		md.eq.after(runMS, func() { md.complete(nd, ep, cl, runMS) })
		md.dispatch(nd)
	}
}

// requeueRefused puts a refused call back at the head of its queue and avoids the endpoint for refusalPauseMS. After a refused probe it also delays the next one, for longer each time.
func (md *Model) requeueRefused(nd *node, ep int, cl *call, probe bool) {
	md.refused++
	cl.tries--
	nd.fullUntilMS[ep] = md.eq.nowMS + refusalPauseMS
	if probe {
		nd.probePauseMS = min(2*nd.probePauseMS+refusalPauseMS, maxProbePauseMS)
		nd.nextProbeMS = md.eq.nowMS + nd.probePauseMS
	}
	nd.queues[cl.team] = append([]*call{cl}, nd.queues[cl.team]...)
	nd.queued++
	md.release(nd, ep)
	md.eq.after(refusalPauseMS, func() { md.dispatch(nd) })
}

// complete records a call that ran to its end and frees its slot.
func (md *Model) complete(nd *node, ep int, cl *call, runMS float64) {
	md.endpoints[ep].busy--
	nd.fullUntilMS[ep] = 0
	nd.runMSByTeam[cl.team] += runMS
	md.runMSByTeam[cl.team] += runMS
	nd.failuresInRow[ep] = 0
	if md.eq.nowMS <= min(cl.deadlineMS, md.endMS) {
		md.inTime++
	}
	md.release(nd, ep)
}

// recordFailure records a failure of the endpoint. From ejectAfterFailures in a row on, it ejects the endpoint, for longer each time.
func (md *Model) recordFailure(nd *node, ep int) {
	nd.lastFailureMS[ep] = md.eq.nowMS
	nd.failuresInRow[ep]++
	if nd.failuresInRow[ep] >= ejectAfterFailures {
		nd.ejectedUntilMS[ep] = md.eq.nowMS + min(ejectMS*float64(nd.failuresInRow[ep]-ejectAfterFailures+1), maxEjectMS)
	}
	md.release(nd, ep)
}

// release frees the entry's slot at the endpoint and dispatches further calls.
func (md *Model) release(nd *node, ep int) {
	nd.inFlight[ep]--
	md.dispatch(nd)
}

// retry queues a failed call again until it has been tried maxTries times; the calls of the model are idempotent.
func (md *Model) retry(nd *node, cl *call) {
	if cl.tries < maxTries {
		md.enqueue(nd, cl)
	}
}
