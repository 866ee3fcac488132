package vmsizes

// Len returns the number of sizes that are kept.
func (st *Set) Len() int { return len(st.lastListedMS) }
