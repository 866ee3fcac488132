package cluster

// GossipPositions returns the number of entries of which a position is kept.
func (ag *Agent) GossipPositions() int {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return len(ag.positions)
}
