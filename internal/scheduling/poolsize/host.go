package poolsize

// Host is a machine with its pool, its VM and the number of runs on it.
type Host struct {
	machine    string
	pool       string
	vm         string
	coresMilli int64
	runs       int
	pinned     bool
}

// NewHost returns a machine in a pool; a pinned one can't be moved now.
func NewHost(machine, pool, vm string, coresMilli int64, runs int, pinned bool) Host {
	return Host{machine: machine, pool: pool, vm: vm, coresMilli: coresMilli, runs: runs, pinned: pinned}
}

// CoresMilli returns the CPU capacity of the machine, in thousandths of a core.
func (ho Host) CoresMilli() int64 { return ho.coresMilli }

// Machine returns the id of the machine.
func (ho Host) Machine() string { return ho.machine }
