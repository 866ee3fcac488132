package poolsize

// Plan is what a sizer decided at one time.
type Plan struct {
	moves map[string]string
	shed  map[string]bool
}

// Moves returns the pool that each machine is to be moved to.
func (pl Plan) Moves() map[string]string { return pl.moves }

// Shed returns the VMs that are to take no new work, since their machines are wanted elsewhere.
func (pl Plan) Shed() map[string]bool { return pl.shed }
