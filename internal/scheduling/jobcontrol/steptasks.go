package jobcontrol

import "iter"

// stepTasks holds the tasks of a step by their indices. A task has a record once something differs from its mere waiting, or it is to be placed, so that large steps that wait take hardly any memory.
type stepTasks struct {
	count int
	// pages hold the records, nil for tasks without one; they are nil themselves until one of their tasks has a record.
	pages [][]*task
}

// tasksPerPage is the number of tasks whose records share a page.
const tasksPerPage = 128

// peek returns the record of a task, or nil if it has none: it then waits, and never had a run.
func (ts *stepTasks) peek(index int) *task {
	if ts.pages == nil || ts.pages[index/tasksPerPage] == nil {
		return nil
	}
	return ts.pages[index/tasksPerPage][index%tasksPerPage]
}

// put sets the record of a task.
func (ts *stepTasks) put(index int, tk *task) {
	if ts.pages == nil {
		ts.pages = make([][]*task, (ts.count+tasksPerPage-1)/tasksPerPage)
	}
	number := index / tasksPerPage
	if ts.pages[number] == nil {
		ts.pages[number] = make([]*task, min(tasksPerPage, ts.count-number*tasksPerPage))
	}
	ts.pages[number][index%tasksPerPage] = tk
}

// recorded yields the tasks that have a record, in order of their indices.
func (ts *stepTasks) recorded() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, page := range ts.pages {
			for _, tk := range page {
				if tk != nil && !yield(tk) {
					return
				}
			}
		}
	}
}

// taskCount returns the number of the step's tasks.
func (st *step) taskCount() int { return st.tasks.count }

// task returns the task of an index, whose record it creates if there is none.
func (st *step) task(index int) *task {
	tk := st.tasks.peek(index)
	if tk == nil {
		tk = &task{st: st, index: index}
		st.tasks.put(index, tk)
	}
	return tk
}

// allTasks yields all tasks, whose records it creates.
func (st *step) allTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for index := range st.taskCount() {
			if !yield(st.task(index)) {
				return
			}
		}
	}
}
