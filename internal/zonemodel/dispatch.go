package zonemodel

// pump starts queued calls while the entry finds a slot that its way lets it use.
func (md *Model) pump(nd *node) {
	for {
		cl := md.next(nd)
		if cl == nil {
			return
		}
		ep, probe := md.choose(nd)
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
func (md *Model) next(nd *node) *call {
	best := -1
	for team := range nd.queues {
		for len(nd.queues[team]) > 0 && nd.queues[team][0].deadline <= md.ag.now+startMarginMS {
			nd.queues[team] = nd.queues[team][1:]
			nd.queued--
			md.expired++
		}
		if len(nd.queues[team]) == 0 {
			continue
		}
		if best < 0 || nd.served[team]/teamShares[team] < nd.served[best]/teamShares[best] {
			best = team
		}
	}
	if best < 0 {
		return nil
	}
	return nd.queues[best][0]
}

// choose returns the less loaded of two random endpoints among those that the entry may use, -1 when there is none, and whether it goes beyond the entry's part.
func (md *Model) choose(nd *node) (int, bool) {
	if ep := md.among(nd, func(i int) int { return md.most(nd, i) }); ep >= 0 {
		return ep, false
	}
	if md.way != PartitionedProbing || nd.probing || md.ag.now < nd.nextProbe {
		return -1, false
	}
	return md.among(nd, func(int) int { return slots }), true
}

func (md *Model) among(nd *node, most func(ep int) int) int {
	var open []int
	for i := range md.endpoints {
		if nd.out[i] < most(i) && nd.full[i] <= md.ag.now && nd.ejected[i] <= md.ag.now {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	a, b := open[md.rnd.IntN(len(open))], open[md.rnd.IntN(len(open))]
	if md.cost(nd, b) < md.cost(nd, a) {
		return b
	}
	return a
}

func (md *Model) most(nd *node, ep int) int {
	if md.way == Partitioned || md.way == PartitionedProbing {
		return nd.shares.Allocation("service", ep, endpointCount, slots)
	}
	return slots
}

// cost counts running requests, and recent failures as load that fades.
func (md *Model) cost(nd *node, ep int) float64 {
	cost := float64(nd.out[ep])
	if nd.failed[ep] > 0 {
		cost += slots * max(0, 1-(md.ag.now-nd.failed[ep])/penaltyMS)
	}
	return cost
}

func (md *Model) send(nd *node, ep int, cl *call, probe bool) {
	nd.out[ep]++
	cl.tries++
	md.attempts++
	md.ag.after(exchangeMS, func() { md.start(nd, ep, cl, probe) })
}

func (md *Model) start(nd *node, ep int, cl *call, probe bool) {
	nd.probing = nd.probing && !probe
	mn := md.endpoints[ep]
	switch {
	case mn.fails:
		md.ag.after(failMS, func() {
			md.fail(nd, ep)
			md.again(nd, cl)
		})
	case mn.busy >= slots:
		md.refuse(nd, ep, cl, probe)
	default:
		mn.busy++
		if probe {
			nd.pause = 0
		}
		run := md.rnd.ExpFloat64() * meanRunMS * mn.slow
		_ = md.wait.RecordValue(int64((md.ag.now - cl.arrived) * usPerMS))
		md.ag.after(run, func() { md.end(nd, ep, cl, run) })
		md.pump(nd)
	}
}

// refuse puts the call back to the head of its queue and leaves the endpoint alone for a moment.
func (md *Model) refuse(nd *node, ep int, cl *call, probe bool) {
	md.refused++
	cl.tries--
	nd.full[ep] = md.ag.now + pollMS
	if probe {
		nd.pause = min(2*nd.pause+pollMS, mostPauseMS)
		nd.nextProbe = md.ag.now + nd.pause
	}
	nd.queues[cl.team] = append([]*call{cl}, nd.queues[cl.team]...)
	nd.queued++
	md.finish(nd, ep)
	md.ag.after(pollMS, func() { md.pump(nd) })
}

func (md *Model) end(nd *node, ep int, cl *call, run float64) {
	md.endpoints[ep].busy--
	nd.full[ep] = 0
	nd.served[cl.team] += run
	md.served[cl.team] += run
	nd.strikes[ep] = 0
	if md.ag.now <= min(cl.deadline, md.until) {
		md.good++
	}
	md.finish(nd, ep)
}

// fail counts a failure against the endpoint and takes it out after some in a row, for longer each time.
func (md *Model) fail(nd *node, ep int) {
	nd.failed[ep] = md.ag.now
	nd.strikes[ep]++
	if nd.strikes[ep] >= ejectStrikes {
		nd.ejected[ep] = md.ag.now + min(ejectMS*float64(nd.strikes[ep]-ejectStrikes+1), mostEjectMS)
	}
	md.finish(nd, ep)
}

func (md *Model) finish(nd *node, ep int) {
	nd.out[ep]--
	md.pump(nd)
}

// again retries a failed idempotent call a few times.
func (md *Model) again(nd *node, cl *call) {
	if cl.tries < mostTries {
		md.enqueue(nd, cl)
	}
}
