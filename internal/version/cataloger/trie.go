package cataloger

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
)

const (
	// digitBits is the number of bits of a hash by which a node distributes its upstreams, and
	// hashBits that of a whole hash.
	digitBits = 4
	fanout    = 1 << digitBits
	hashBits  = 64

	// maxLeaf is the maximum number of upstreams in a leaf.
	maxLeaf = 16
)

type (
	// node is a node of a trie of upstreams in the order of their hashes. nil is an empty trie.
	// Changes copy the nodes on one path, so that a published trie stays as it is; those of the
	// same batch change its own copies in place.
	node struct {
		batch uint64
		count int
		// children is nil in a leaf, upstreams in every other node.
		children  *[fanout]*node
		upstreams []*Upstream
	}
)

// digit returns the part of a hash by which the nodes whose lowest bit is shift distribute it.
func digit(h hasher.Hash, shift int) int {
	return int(h>>shift) & (fanout - 1)
}

func (n *node) size() int {
	if n == nil {
		return 0
	}
	return n.count
}

// editable returns n, or a copy of it if another batch made it.
func (n *node) editable(batch uint64) *node {
	if n.batch == batch {
		return n
	}
	m := &node{batch: batch, count: n.count, upstreams: slices.Clone(n.upstreams)}
	if n.children != nil {
		children := *n.children
		m.children = &children
	}
	return m
}

// search returns the index in a leaf of the first upstream with a hash not below h, and whether it
// has that hash.
func (n *node) search(h hasher.Hash) (int, bool) {
	return slices.BinarySearchFunc(n.upstreams, h, func(u *Upstream, h hasher.Hash) int { return cmp.Compare(u.hash, h) })
}

// put adds u or replaces the upstream with its hash. shift is the position of the digit by which
// n distributes its upstreams.
func (n *node) put(u *Upstream, shift int, batch uint64) *node {
	if n == nil {
		return &node{batch: batch, count: 1, upstreams: []*Upstream{u}}
	}
	n = n.editable(batch)
	if n.children != nil {
		child := &n.children[digit(u.hash, shift)]
		n.count -= (*child).size()
		*child = (*child).put(u, shift-digitBits, batch)
		n.count += (*child).size()
		return n
	}
	i, found := n.search(u.hash)
	if found {
		n.upstreams[i] = u
		return n
	}
	n.upstreams = slices.Insert(n.upstreams, i, u)
	n.count++
	if n.count > maxLeaf {
		n.split(shift, batch)
	}
	return n
}

// split makes an inner node of a leaf.
func (n *node) split(shift int, batch uint64) {
	n.children = new([fanout]*node)
	for _, u := range n.upstreams {
		child := &n.children[digit(u.hash, shift)]
		*child = (*child).put(u, shift-digitBits, batch)
	}
	n.upstreams = nil
}

// remove removes the upstream with a hash, if there is one.
func (n *node) remove(h hasher.Hash, shift int, batch uint64) *node {
	if n.find(h, shift) == nil {
		return n
	}
	if n.count == 1 {
		return nil
	}
	n = n.editable(batch)
	n.count--
	if n.children == nil {
		i, _ := n.search(h)
		n.upstreams = slices.Delete(n.upstreams, i, i+1)
		return n
	}
	child := &n.children[digit(h, shift)]
	*child = (*child).remove(h, shift-digitBits, batch)
	if n.count <= maxLeaf {
		n.merge(shift)
	}
	return n
}

// merge makes a leaf of an inner node.
func (n *node) merge(shift int) {
	list := make([]*Upstream, 0, maxLeaf)
	n.ascend(0, shift, func(u *Upstream) bool {
		list = append(list, u)
		return true
	})
	n.children, n.upstreams = nil, list
}

// find returns the upstream with a hash, or nil.
func (n *node) find(h hasher.Hash, shift int) *Upstream {
	for ; n != nil && n.children != nil; shift -= digitBits {
		n = n.children[digit(h, shift)]
	}
	if n == nil {
		return nil
	}
	if i, found := n.search(h); found {
		return n.upstreams[i]
	}
	return nil
}

// ascend calls yield with the upstreams whose hash is at least from, in the order of their hashes,
// until it returns false, and reports whether it never did.
func (n *node) ascend(from hasher.Hash, shift int, yield func(*Upstream) bool) bool {
	if n == nil {
		return true
	}
	if n.children == nil {
		i, _ := n.search(from)
		for _, u := range n.upstreams[i:] {
			if !yield(u) {
				return false
			}
		}
		return true
	}
	first := digit(from, shift)
	if !n.children[first].ascend(from, shift-digitBits, yield) {
		return false
	}
	for _, child := range n.children[first+1:] {
		if !child.ascend(0, shift-digitBits, yield) {
			return false
		}
	}
	return true
}

// at returns the upstream at an index in the order of the hashes.
func (n *node) at(i int) *Upstream {
	for n.children != nil {
		for _, child := range n.children {
			if i < child.size() {
				n = child
				break
			}
			i -= child.size()
		}
	}
	return n.upstreams[i]
}
