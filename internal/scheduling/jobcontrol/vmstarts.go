package jobcontrol

// takesStart reports whether one more start of a step may be under way to the VM, by how soon it answered the last ones: those beyond would wait behind each other, with the starts of other jobs among them, until they are too old to be sent. Long-running tasks are few, and all members of a gang have to start at the same time.
func (vm *vmState) takesStart(st *step) bool {
	limit := vm.window.Limit()
	if st.leavesHalf {
		limit /= 2
	}
	return vm.startsUnderWay < limit || st.row.GetLasting() || st.row.GetGang()
}

// recordStartAnswer records that the start of a run was answered, found to be executed, or given up since it waited for too long.
func (rn *run) recordStartAnswer(nowMS int64) {
	rn.vm.window.Record(nowMS, nowMS-rn.startedMS)
}
