package taskpace

import "slices"

const (
	// minSiblings is the number of other tasks of a step on other VMs from which its duration is known; one of them alone may be an unusual task.
	minSiblings = 2
	// maxSiblingVMs and maxSiblingsPerVM bound the tasks of a step that are compared, the last ones on each VM.
	maxSiblingVMs    = 16
	maxSiblingsPerVM = 8
	// medianDivisor divides the number of compared tasks into the number of changes after which a median is computed again.
	medianDivisor = 16
)

// siblings holds how long tasks of a step take, by VM. Their number is bounded, since a step may have thousands of runs and each of them is compared with the others.
type siblings struct {
	vms map[string]*siblingsOnVM
	// vmOf names the VM of each task that is held.
	vmOf map[int]string
	// medians holds, by VM, what was computed last from the tasks on the others.
	medians map[string]median
	changes int
}

// siblingsOnVM is a ring of the last tasks on a VM; next is the position of the oldest one once it is full.
type siblingsOnVM struct {
	tasks []sibling
	next  int
}

// sibling is how long a task of a step took, or is projected to take.
type sibling struct {
	index  int
	tookMS int64
}

// median is the lower median of the tasks on the other VMs of normal speed, after a number of changes of the step's tasks and of the slow VMs; known is false if there were too few.
type median struct {
	tookMS               int64
	known                bool
	changes, slowChanges int
}

func newSiblings() *siblings {
	return &siblings{vms: map[string]*siblingsOnVM{}, vmOf: map[int]string{}, medians: map[string]median{}}
}

// record records how long a task takes on a VM, in place of what was known of it.
func (sb *siblings) record(index int, vm string, tookMS int64) {
	if other, ok := sb.vmOf[index]; ok && other != vm {
		sb.vms[other].remove(index)
		delete(sb.vmOf, index)
		sb.changes++
	}
	sv, ok := sb.vms[vm]
	if !ok {
		if len(sb.vms) >= maxSiblingVMs {
			return
		}
		sv = &siblingsOnVM{}
		sb.vms[vm] = sv
	}
	sb.changes++
	if replaced, ok := sv.record(sibling{index, tookMS}); ok {
		delete(sb.vmOf, replaced)
	}
	sb.vmOf[index] = vm
}

// record adds a task or replaces what was known of it, and returns the index of the task that made room for it, if one did.
func (sv *siblingsOnVM) record(sb sibling) (replaced int, ok bool) {
	if at := slices.IndexFunc(sv.tasks, func(other sibling) bool { return other.index == sb.index }); at >= 0 {
		sv.tasks[at] = sb
		return 0, false
	}
	if len(sv.tasks) < maxSiblingsPerVM {
		sv.tasks = append(sv.tasks, sb)
		return 0, false
	}
	replaced = sv.tasks[sv.next].index
	sv.tasks[sv.next] = sb
	sv.next = (sv.next + 1) % maxSiblingsPerVM
	return replaced, true
}

func (sv *siblingsOnVM) remove(index int) {
	sv.tasks = slices.DeleteFunc(sv.tasks, func(sb sibling) bool { return sb.index == index })
	sv.next = 0
}

// expectedMS returns how long a task takes by the other tasks on other VMs that aren't slow, and whether there are enough of them. slowChanges counts the changes of the slow VMs.
func (sb *siblings) expectedMS(index int, vm string, slow func(vm string) bool, slowChanges int) (int64, bool) {
	last, ok := sb.medians[vm]
	if !ok || last.slowChanges != slowChanges || sb.changes-last.changes >= len(sb.vmOf)/medianDivisor {
		last = sb.median(index, vm, slow)
		last.changes, last.slowChanges = sb.changes, slowChanges
		sb.medians[vm] = last
	}
	return last.tookMS, last.known
}

func (sb *siblings) median(index int, vm string, slow func(vm string) bool) median {
	var took []int64
	for other, sv := range sb.vms {
		if other == vm || slow(other) {
			continue
		}
		for _, tk := range sv.tasks {
			if tk.index != index {
				took = append(took, tk.tookMS)
			}
		}
	}
	if len(took) < minSiblings {
		return median{}
	}
	return median{tookMS: lowerMedian(took), known: true}
}

func lowerMedian(list []int64) int64 {
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
