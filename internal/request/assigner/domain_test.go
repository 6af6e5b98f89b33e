package assigner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// domainCounts is the number of upstreams by failure domain.
type domainCounts map[registrar.Site]int

// newDomains returns a fixture with upstreams of 3 slots in failure domains.
func newDomains(counts domainCounts) *fixture {
	var c cataloger.Catalog
	for site, n := range counts {
		for i := range n {
			c.Put(cataloger.Upstream{ID: cataloger.UpstreamID(fmt.Sprint(site, i)), Service: "s", Site: site, Slots: 3})
		}
	}
	return &fixture{all: slices.Collect(c.Current().ByService("s").All())}
}

// inDomain returns an assigner of a daemon in a failure domain of a region with two.
func (f *fixture) inDomain(site registrar.Site, off switcher.Set) *assigner.Assigner {
	a := f.assignerWithout(site.Region(), off)
	a.Site, a.Domains = site, 2
	return a
}

// place returns the home of a key whose requests have large bodies.
func place(a *assigner.Assigner, k hasher.Hash, all []*cataloger.Upstream) *cataloger.Upstream {
	r := anyRequest
	k, r.Domain = a.Localize(k, r, cataloger.NewPool(all))
	return a.Home(k, r, cataloger.NewPool(all)).Upstream
}

// exclude returns the upstreams outside a failure domain.
func exclude(all []*cataloger.Upstream, site registrar.Site) (rest []*cataloger.Upstream) {
	for _, u := range all {
		if u.Site != site {
			rest = append(rest, u)
		}
	}
	return rest
}

// TestLargeBodiesStayInDomain places 38 keys with large bodies by daemons of both failure domains
// of a region. No upstream gets more keys than it remembers.
func TestLargeBodiesStayInDomain(t *testing.T) {
	is := is.New(t)
	const remembered = 12
	f := newDomains(domainCounts{"east/a": 12, "east/b": 12, "west/a": 12, "west/b": 12, "north/a": 12, "north/b": 12})
	keys := map[*cataloger.Upstream]int{}
	for _, site := range []registrar.Site{"east/a", "east/b"} {
		a := f.inDomain(site, 0)
		for i := range 38 {
			u := place(a, key(i), f.all)
			is.Equal(u.Site, site)
			is.Equal(place(a, key(i), f.all), u)
			keys[u]++
			is.True(keys[u] <= remembered)
		}
	}
}

// TestLostDomainUsesHomesOfTheOther guards against first runs of all keys after the loss of a
// failure domain whose keys other upstreams of the region know.
func TestLostDomainUsesHomesOfTheOther(t *testing.T) {
	is := is.New(t)
	f := newDomains(domainCounts{"east/a": 12, "east/b": 12, "west/a": 12})
	a, b := f.inDomain("east/a", 0), f.inDomain("east/b", 0)
	b.Announce = a.Merge
	rest := exclude(f.all, "east/a")
	for i := range 38 {
		place(a, key(i), f.all)
		u := place(b, key(i), f.all)
		if u.Site.Region() == "east" {
			is.Equal(place(a, key(i), rest), u)
		}
		is.Equal(place(a, key(i), f.all).Site, place(a, key(i), f.all).Site)
	}
	back := place(a, key(0), f.all)
	is.Equal(back.Site, registrar.Site("east/a")) // the domain's own homes are used again
}

// TestKeysOfSmallRegionHaveOneHomeElsewhere has a region whose upstreams carry a third of its
// callers' keys: the others have one home in another region, whatever the domain of the daemon.
func TestKeysOfSmallRegionHaveOneHomeElsewhere(t *testing.T) {
	is := is.New(t)
	f := newDomains(domainCounts{"east/a": 2, "east/b": 2, "west/a": 16, "north/a": 16})
	a, b := f.inDomain("east/a", 0), f.inDomain("east/b", 0)
	b.Announce = a.Merge
	elsewhere := 0
	for i := range 100 {
		u := place(b, key(i), f.all)
		if u.Site.Region() != "east" {
			is.Equal(place(a, key(i), f.all), u)
			elsewhere++
		}
	}
	is.True(elsewhere > 40)
	is.True(elsewhere < 90)
}

// TestSmallDomainLeavesKeysToTheOther has a domain with a sixth of its region's slots. Its daemons
// keep as many keys there as its slots carry.
func TestSmallDomainLeavesKeysToTheOther(t *testing.T) {
	is := is.New(t)
	f := newDomains(domainCounts{"east/a": 2, "east/b": 10})
	a := f.inDomain("east/a", 0)
	own := 0
	for i := range 300 {
		if place(a, key(i), f.all).Site == "east/a" {
			own++
		}
	}
	is.True(own > 60)
	is.True(own < 140)
}

// TestDomainHomesSwitchedOff checks that a key has one home in the region without the mechanism.
func TestDomainHomesSwitchedOff(t *testing.T) {
	is := is.New(t)
	f := newDomains(domainCounts{"east/a": 12, "east/b": 12})
	off := switcher.Of(switcher.DomainHomes)
	a, b := f.inDomain("east/a", off), f.inDomain("east/b", off)
	b.Announce = a.Merge
	for i := range 38 {
		u := place(b, key(i), f.all)
		is.Equal(place(a, key(i), f.all), u)
	}
}
