package poolsize

// Host is one machine as the sizer sees it.
type Host struct {
	machine    string
	pool       string
	vm         string
	coresMilli int64
	load       int
	pinned     bool
}

// NewHost returns a machine in a pool with its VM and the number of runs there; a pinned one can't be moved now.
func NewHost(machine, pool, vm string, coresMilli int64, load int, pinned bool) Host {
	return Host{machine: machine, pool: pool, vm: vm, coresMilli: coresMilli, load: load, pinned: pinned}
}

// Machine returns the machine's id.
func (ho Host) Machine() string { return ho.machine }
