package taskname

import (
	"strconv"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Name identifies one task by its job, occurrence, step and index.
type Name struct {
	job        string
	occurrence int
	step       int
	index      int
}

const fieldCount = 4

// New returns the name of a task.
func New(job string, occurrence, step, index int) Name {
	return Name{job: job, occurrence: occurrence, step: step, index: index}
}

// Parse parses the text of a name, in the format that String returns.
func Parse(text string) (Name, error) {
	parts := strings.Split(text, ".")
	if len(parts) != fieldCount {
		return Name{}, code.BodyBroken.New("task name: expected job, occurrence, step and index, got %d fields", len(parts))
	}
	var numbers [fieldCount - 1]int
	for at := range numbers {
		val, err := strconv.Atoi(parts[at+1])
		if err != nil || val < 0 {
			return Name{}, code.BodyBroken.New("task name: expected a number of 0 or more, got %q", parts[at+1])
		}
		numbers[at] = val
	}
	return New(parts[0], numbers[0], numbers[1], numbers[2]), nil
}

// Job returns the job's id.
func (nm Name) Job() string { return nm.job }

// Occurrence returns the number of the occurrence, 0 for the first.
func (nm Name) Occurrence() int { return nm.occurrence }

// Step returns the number of the step, 0 for the first.
func (nm Name) Step() int { return nm.step }

// Index returns the number of the task within its step, 0 for the first.
func (nm Name) Index() int { return nm.index }

// StepName returns the name of the task's step, which is the task's name without its index.
func (nm Name) StepName() string {
	return nm.job + "." + strconv.Itoa(nm.occurrence) + "." + strconv.Itoa(nm.step)
}

// String returns the name as text.
func (nm Name) String() string { return nm.StepName() + "." + strconv.Itoa(nm.index) }
