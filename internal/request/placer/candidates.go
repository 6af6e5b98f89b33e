package placer

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

const (
	// MaxCandidates is the maximum number of candidate upstreams of a key. Without a bound, an
	// overload spreads keys to upstreams that do not know them, whose work grows, and the
	// service does not recover.
	MaxCandidates = 3

	// ringProbes is the number of positions of a key on the ring of hashes. With a single one, the
	// number of keys of an upstream varies as the distances between hashes do; with 21, the largest
	// is 1.05 times the mean (Appleton and O'Reilly, Multi-probe consistent hashing).
	ringProbes = 21

	// maxRejected is the number of upstreams in a row that a filter may reject at one position.
	// Where most upstreams are unusable, some position finds one that is not.
	maxRejected = 64
)

type (
	// candidate is an upstream and its distance from the nearest position of a key.
	candidate struct {
		upstream *cataloger.Upstream
		distance hasher.Hash
	}

	// candidates are sorted by distance, without duplicates.
	candidates struct {
		list [MaxCandidates]candidate
		n    int
	}
)

// Candidates appends to l the preferred upstreams of a key, best first, at the sites for which site
// returns true. Adding or removing an upstream moves only its own keys.
func Candidates(l []*cataloger.Upstream, key hasher.Hash, all *cataloger.Pool, site func(registrar.Site) bool) []*cataloger.Upstream {
	return CandidatesWhere(l, key, all, site, nil)
}

// CandidatesWhere is like Candidates, with a filter on upstreams. If match rejects most of them, it
// may miss some that it accepts. Nil accepts all.
//
// It is multi-probe consistent hashing. Rendezvous hashing orders upstreams likewise, but looks at
// all of them.
func CandidatesWhere(l []*cataloger.Upstream, key hasher.Hash, all *cataloger.Pool, site func(registrar.Site) bool, match func(*cataloger.Upstream) bool) []*cataloger.Upstream {
	var c candidates
	if match != nil {
		match = memoize(match)
	}
	for _, g := range all.Groups() {
		if !site(g.Site) {
			continue
		}
		for i := range hasher.Hash(ringProbes) {
			c.search(g, hasher.Mix(key, i), match)
		}
	}
	for _, e := range c.list[:c.n] {
		l = append(l, e.upstream)
	}
	return l
}

// memoize returns match for callers that ask for an upstream several times.
func memoize(match func(*cataloger.Upstream) bool) func(*cataloger.Upstream) bool {
	results := map[*cataloger.Upstream]bool{}
	return func(u *cataloger.Upstream) bool {
		result, known := results[u]
		if !known {
			result = match(u)
			results[u] = result
		}
		return result
	}
}

// search adds the upstreams of a group that follow a position on the ring, as long as they are among
// the nearest.
func (c *candidates) search(g cataloger.Group, at hasher.Hash, match func(*cataloger.Upstream) bool) {
	rejected := 0
	for u := range g.From(at) {
		distance := u.Hash() - at
		if c.n == MaxCandidates && distance >= c.list[c.n-1].distance {
			return
		}
		if match == nil || match(u) {
			c.add(candidate{u, distance})
			continue
		}
		if rejected++; rejected == maxRejected {
			return
		}
	}
}

func (c *candidates) add(e candidate) {
	for i, other := range c.list[:c.n] {
		if other.upstream != e.upstream {
			continue
		}
		if other.distance <= e.distance {
			return
		}
		copy(c.list[i:], c.list[i+1:c.n])
		c.n--
		break
	}
	at := c.n
	for at > 0 && e.distance < c.list[at-1].distance {
		at--
	}
	if at == MaxCandidates {
		return
	}
	c.n = min(c.n+1, MaxCandidates)
	copy(c.list[at+1:c.n], c.list[at:c.n-1])
	c.list[at] = e
}
