package cataloger

import (
	"cmp"
	"iter"
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// topShift is the position of the digit by which the root of a trie distributes its upstreams.
const topShift = hashBits - digitBits

type (
	// Pool is an immutable set of upstreams, grouped by site. A lookup takes time logarithmic in
	// their number, and so does a change of one of them. nil is an empty pool.
	Pool struct {
		batch  uint64
		groups []Group
	}

	// Group holds the upstreams of a pool at one site.
	Group struct {
		Site registrar.Site
		// Slots is the number of slots of all upstreams, at least one of each.
		Slots int
		root  *node
	}
)

// NewPool returns a pool of upstreams of a catalog.
func NewPool(list []*Upstream) *Pool {
	p := &Pool{}
	for _, u := range list {
		p = p.put(u, 0)
	}
	return p
}

// Len returns the number of upstreams.
func (p *Pool) Len() (n int) {
	for _, g := range p.Groups() {
		n += g.Len()
	}
	return n
}

// Groups returns the upstreams by site, sorted by site. The caller must not modify the slice.
func (p *Pool) Groups() []Group {
	if p == nil {
		return nil
	}
	return p.groups
}

// Find returns the upstream with a hash, or nil.
func (p *Pool) Find(h hasher.Hash) *Upstream {
	for _, g := range p.Groups() {
		if u := g.root.find(h, topShift); u != nil {
			return u
		}
	}
	return nil
}

// All iterates over the upstreams.
func (p *Pool) All() iter.Seq[*Upstream] {
	return func(yield func(*Upstream) bool) {
		for _, g := range p.Groups() {
			if !g.root.ascend(0, topShift, yield) {
				return
			}
		}
	}
}

// Len returns the number of upstreams.
func (g Group) Len() int {
	return g.root.size()
}

// At returns the upstream at an index below Len, in the order of the hashes.
func (g Group) At(i int) *Upstream {
	return g.root.at(i)
}

// From iterates over the upstreams in the order of their hashes, beginning with the first one
// whose hash is at least h. Those with lower hashes follow the one with the highest.
func (g Group) From(h hasher.Hash) iter.Seq[*Upstream] {
	return func(yield func(*Upstream) bool) {
		if !g.root.ascend(h, topShift, yield) {
			return
		}
		g.root.ascend(0, topShift, func(u *Upstream) bool { return u.hash < h && yield(u) })
	}
}

// put returns the pool with u, which replaces the upstream of its site with its hash.
func (p *Pool) put(u *Upstream, batch uint64) *Pool {
	p = p.editable(batch)
	i, found := p.group(u.Site)
	if !found {
		p.groups = slices.Insert(p.groups, i, Group{Site: u.Site})
	}
	g := &p.groups[i]
	if former := g.root.find(u.hash, topShift); former != nil {
		g.Slots -= max(former.Slots, 1)
	}
	g.Slots += max(u.Slots, 1)
	g.root = g.root.put(u, topShift, batch)
	return p
}

// remove returns the pool without u.
func (p *Pool) remove(u *Upstream, batch uint64) *Pool {
	i, found := p.group(u.Site)
	if !found || p.groups[i].root.find(u.hash, topShift) == nil {
		return p
	}
	p = p.editable(batch)
	g := &p.groups[i]
	g.Slots -= max(u.Slots, 1)
	if g.root = g.root.remove(u.hash, topShift, batch); g.root == nil {
		p.groups = slices.Delete(p.groups, i, i+1)
	}
	return p
}

// editable returns p, or a copy of it if another batch made it.
func (p *Pool) editable(batch uint64) *Pool {
	switch {
	case p == nil:
		return &Pool{batch: batch}
	case p.batch == batch:
		return p
	}
	return &Pool{batch: batch, groups: slices.Clone(p.groups)}
}

// group returns the index of the group of a site, and whether there is one.
func (p *Pool) group(site registrar.Site) (int, bool) {
	if p == nil {
		return 0, false
	}
	return slices.BinarySearchFunc(p.groups, site, func(g Group, s registrar.Site) int { return cmp.Compare(g.Site, s) })
}
