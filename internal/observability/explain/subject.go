package explain

import (
	"path"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

// idFields are the fields in which a line holds the id that it is about.
var idFields = []string{"job", "vm", "worker", "machine", "request-id", "path"}

var acceptances = map[string]bool{"job-accepted": true, "job-submitted": true}

// ends are the events that end a job.
var ends = map[string]bool{"job-completed": true, "job-failed": true, "job-given-up": true, "job-cancelled": true, "job-ended": true}

// refusals are the events of calls that didn't take effect.
var refusals = map[string]bool{"call-refused": true, "submission-refused": true, "request-refused": true, "request-failed": true, "job-request-refused": true}

// ownerEvents concern every job that is scheduled at the time.
var ownerEvents = map[string]bool{
	"ownership-taken": true, "ownership-released": true, "ownership-unreleased": true, "ownership-yielded": true, "transfer-due": true,
	"scheduling-started": true, "scheduling-ended": true, "scheduling-lost": true, "first-start-accepted": true,
	"commit-failed": true, "renewal-failed": true, "restore-read-failed": true, "restore-progress": true, "takeover-unfinished": true, "jobs-rebuilt": true, "jobs-table-outage": true,
}

// lifeEvents concern a job if the entry owns scheduling at some time.
var lifeEvents = map[string]bool{"entry-started": true, "entry-draining": true, "entry-stopped": true}

// subject is what an id stands for, as far as lines tell.
type subject struct {
	id string
	// job is the task's job if the id is a task's name, else empty.
	job string
	// isJob is set if the id is that of a job or task.
	isJob    bool
	vms      map[string]bool
	machines map[string]bool
	// owners are the entries that owned scheduling at some time.
	owners map[string]bool
}

func newSubject(id string) *subject {
	sub := &subject{id: id, vms: map[string]bool{}, machines: map[string]bool{}, owners: map[string]bool{}}
	if nm, err := taskname.Parse(id); err == nil {
		sub.job = nm.Job()
	}
	return sub
}

// named reports whether a line holds the id.
func (sub *subject) named(ln logline.Line) bool {
	task := ln.Get("task")
	if task != "" && (task == sub.id || strings.HasPrefix(task, sub.id+".")) {
		return true
	}
	if sub.job != "" {
		return ln.Get("job") == sub.job
	}
	for _, field := range idFields {
		if value := ln.Get(field); value != "" && (value == sub.id || field == "path" && path.Base(value) == sub.id) {
			return true
		}
	}
	return false
}

// learn takes from a line that holds the id whether this is a job or task, and on which VM it ran.
func (sub *subject) learn(ln logline.Line) {
	task, job := ln.Get("task"), ln.Get("job")
	ofJob := job == sub.id || sub.job != "" || strings.HasPrefix(task, sub.id+".")
	if !ofJob {
		return
	}
	if !refusals[ln.Event()] {
		sub.isJob = true
	}
	for _, field := range []string{"vm", "worker"} {
		if vm := ln.Get(field); vm != "" {
			sub.vms[vm] = true
		}
	}
}

// learnOthers takes the machine of a concerned VM, or an entry that owned scheduling, from a line.
func (sub *subject) learnOthers(ln logline.Line) {
	if ln.Event() == "ownership-taken" {
		sub.owners[ln.Entry()] = true
	}
	if machine := ln.Get("machine"); machine != "" && sub.vms[ln.Get("vm")] {
		sub.machines[machine] = true
	}
}

// concerned reports whether a line that doesn't hold the job's id tells of an owner, a VM that it ran on or that VM's machine.
func (sub *subject) concerned(ln logline.Line) bool {
	if !sub.isJob {
		return false
	}
	vm := ln.Get("vm")
	ofVM := sub.vms[vm] && strings.HasPrefix(ln.Event(), "vm-")
	ofOwner := ownerEvents[ln.Event()] || lifeEvents[ln.Event()] && sub.owners[ln.Entry()]
	return ofOwner || ofVM || vm == "" && sub.machines[ln.Get("machine")]
}
