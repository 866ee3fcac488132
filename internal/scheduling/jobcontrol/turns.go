package jobcontrol

import "cmp"

// Overdue work takes turns: one occurrence of a job, or some tasks of a large one, and then one of each other job that waits. By due times alone, a job with many overdue occurrences would hold up all others until the last of them has started.

// tasksPerTurn is how many tasks of an overdue occurrence may start before other jobs have their turn.
const tasksPerTurn = 16

// waitsSinceMS returns since when an overdue step waits for its turn: its latest start, or later if other parts of its job have had a turn since.
func (st *step) waitsSinceMS(latestMS int64) int64 {
	if st.oc.begun {
		return max(latestMS, st.oc.turnMS)
	}
	return max(latestMS, st.oc.jb.turnMS)
}

// countTurn counts the start of a task for the turns of its job.
func (oc *occurrence) countTurn(nowMS int64) {
	if !oc.begun {
		oc.begun, oc.turnMS = true, oc.jb.turnMS
		oc.jb.turnMS = nowMS
	}
	if oc.turnStarts++; oc.turnStarts%tasksPerTurn == 0 {
		oc.turnMS = nowMS
	}
}

// appendCandidates appends the steps of a job with tasks that may start, and numbers the turns of its occurrences that haven't begun.
func (ct *Controller) appendCandidates(list []candidate, jb *job, nowMS int64) []candidate {
	turn := 0
	for _, oc := range jb.occurrences {
		first := len(list)
		list = ct.appendReady(list, oc, ct.queueOf(jb), nowMS)
		if oc.begun || len(list) == first {
			continue
		}
		for at := range list[first:] {
			list[first+at].turn = turn
		}
		turn++
	}
	return list
}

// compareTurns compares two overdue candidates by their turns.
func compareTurns(one, other candidate) int {
	return cmp.Or(cmp.Compare(one.turn, other.turn), cmp.Compare(one.waitsSinceMS, other.waitsSinceMS))
}
