package retention

// Retention holds the ids of ended jobs until their retention period is over.
//
// The period starts when this process learns of a job's end, measured by its own monotonic clock, so that no clock jump can shorten it. It starts again when the scheduling ownership changes.
type Retention struct {
	retentionMS int64
	// partitions maps each partition to its ended jobs, in the order in which they were recorded.
	partitions map[string][]endedJob
}

type endedJob struct {
	id         string
	recordedMS int64
}

// New returns a retention with the given period; 0 or less keeps all rows.
func New(retentionMS int64) *Retention {
	return &Retention{retentionMS: retentionMS, partitions: map[string][]endedJob{}}
}

// RecordEnded records that a job in a partition has ended.
func (rt *Retention) RecordEnded(partition, id string, nowMS int64) {
	if rt.retentionMS > 0 {
		rt.partitions[partition] = append(rt.partitions[partition], endedJob{id, nowMS})
	}
}

// Requeue makes ids due again whose rows could not be deleted.
func (rt *Retention) Requeue(partition string, ids []string, nowMS int64) {
	list := make([]endedJob, 0, len(ids)+len(rt.partitions[partition]))
	for _, id := range ids {
		list = append(list, endedJob{id, nowMS - rt.retentionMS})
	}
	rt.partitions[partition] = append(list, rt.partitions[partition]...)
}

// TakeDue removes and returns up to maxIDs due ids of the partition that has the most of them, or no ids if none is due.
func (rt *Retention) TakeDue(nowMS int64, maxIDs int) (partition string, ids []string) {
	best := 0
	for name, list := range rt.partitions {
		if due := rt.countDue(list, nowMS); due > best || (due == best && due > 0 && name < partition) {
			partition, best = name, due
		}
	}
	list := rt.partitions[partition]
	for _, ej := range list[:min(best, maxIDs)] {
		ids = append(ids, ej.id)
	}
	if len(ids) > 0 {
		rt.partitions[partition] = list[len(ids):]
	}
	return partition, ids
}

// Due reports whether a job that was recorded at a time is due.
func (rt *Retention) Due(recordedMS, nowMS int64) bool { return nowMS-recordedMS >= rt.retentionMS }

// countDue returns the number of due jobs at the head of the list.
func (rt *Retention) countDue(list []endedJob, nowMS int64) int {
	for at, ej := range list {
		if !rt.Due(ej.recordedMS, nowMS) {
			return at
		}
	}
	return len(list)
}
