package placement

import "github.com/fulmarloft/fulmarloft/internal/scheduling/size"

// noCapacity is below every need, so that a leaf without usable workers never fits.
var noCapacity = size.New(-1, -1, -1)

// maxTree is a segment tree over the racks of a zone that holds the largest free amount of each resource; node i has the children 2i and 2i+1.
type maxTree struct {
	leaves int
	nodes  []size.Size
}

// set stores the free amounts of a leaf and updates its ancestors up to the first that stays the same.
func (tr *maxTree) set(leaf int, maxFree size.Size) {
	if leaf >= tr.leaves {
		tr.grow(leaf + 1)
	}
	node := tr.leaves + leaf
	tr.nodes[node] = maxFree
	for node > 1 {
		node /= 2
		merged := tr.nodes[2*node].Max(tr.nodes[2*node+1])
		if merged == tr.nodes[node] {
			return
		}
		tr.nodes[node] = merged
	}
}

// grow rebuilds the tree with the next power of two leaves.
func (tr *maxTree) grow(minLeaves int) {
	leaves := max(1, tr.leaves)
	for leaves < minLeaves {
		leaves *= 2
	}
	nodes := make([]size.Size, 2*leaves)
	for i := range nodes {
		nodes[i] = noCapacity
	}
	if tr.leaves > 0 {
		copy(nodes[leaves:], tr.nodes[tr.leaves:])
	}
	for node := leaves - 1; node >= 1; node-- {
		nodes[node] = nodes[2*node].Max(nodes[2*node+1])
	}
	tr.leaves, tr.nodes = leaves, nodes
}

// fits reports whether the need may fit into some rack.
func (tr *maxTree) fits(need size.Size) bool {
	return tr.leaves > 0 && need.Fits(tr.nodes[1])
}

// next returns the first leaf at or after from whose free amounts fit the need, or -1, and counts the visited nodes. The amounts are maxima over a rack, so that they need not all be free on one worker.
func (tr *maxTree) next(from int, need size.Size, visits *int) int {
	if tr.leaves == 0 || from >= tr.leaves {
		return -1
	}
	node := tr.leaves + from
	for {
		*visits++
		if need.Fits(tr.nodes[node]) {
			if node >= tr.leaves {
				return node - tr.leaves
			}
			node *= 2
			continue
		}
		for node&1 == 1 {
			if node == 1 || node&(node+1) == 0 {
				return -1
			}
			node /= 2
		}
		node++
	}
}
