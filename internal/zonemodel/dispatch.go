package zonemodel

// pump starts queued calls while the entry finds a slot that its way lets it use.
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

// next returns the head of the queue of the team that has had least for its share, after dropping calls past their deadline.
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

// chooseEndpoint returns the less loaded of two random endpoints among those that the entry may use, -1 when there is none, and whether it goes beyond the entry's part.
func (md *Model) chooseEndpoint(nd *node) (int, bool) {
	if ep := md.lessLoadedOfTwo(nd, func(i int) int { return md.slotLimit(nd, i) }); ep >= 0 {
		return ep, false
	}
	if md.strategy != PartitionedProbing || nd.probing || md.eq.nowMS < nd.nextProbeMS {
		return -1, false
	}
	return md.lessLoadedOfTwo(nd, func(int) int { return slotsPerEndpoint }), true
}

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

func (md *Model) slotLimit(nd *node, ep int) int {
	if md.strategy == Partitioned || md.strategy == PartitionedProbing {
		return nd.shares.Allocation("service", ep, endpointCount, slotsPerEndpoint)
	}
	return slotsPerEndpoint
}

// cost counts running requests, and recent failures as load that fades.
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

// refuse puts the call back to the head of its queue and leaves the endpoint alone for a moment.
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

// fail counts a failure against the endpoint and takes it out after some in a row, for longer each time.
func (md *Model) recordFailure(nd *node, ep int) {
	nd.lastFailureMS[ep] = md.eq.nowMS
	nd.failuresInRow[ep]++
	if nd.failuresInRow[ep] >= ejectAfterFailures {
		nd.ejectedUntilMS[ep] = md.eq.nowMS + min(ejectMS*float64(nd.failuresInRow[ep]-ejectAfterFailures+1), maxEjectMS)
	}
	md.release(nd, ep)
}

func (md *Model) release(nd *node, ep int) {
	nd.inFlight[ep]--
	md.dispatch(nd)
}

// again retries a failed idempotent call a few times.
func (md *Model) retry(nd *node, cl *call) {
	if cl.tries < maxTries {
		md.enqueue(nd, cl)
	}
}
