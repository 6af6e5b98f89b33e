package assigner

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// Localize returns the key by which requests of a route with large bodies are placed, and the
// failure domain that it belongs to, "" if to none. In their own region such routes have one home
// for a key in each domain, so that bodies don't cross between domains. A key whose home is in
// another region has just that one.
//
// While the daemon's own domain has no upstreams of the service, its requests use the homes of
// another domain, which know the keys.
func (a *Assigner) Localize(key hasher.Hash, r Request, all *cataloger.Pool) (hasher.Hash, registrar.Site) {
	if a.Domains < 2 || a.Without.Has(switcher.DomainHomes) || !r.Allowed(a.Region) {
		return key, ""
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	site := a.domainOf(key, all)
	if site == "" || !a.homeInRegion(key, site, r, all) {
		return key, ""
	}
	return domainKey(key, site), site
}

// domainKey returns the key by which a key is placed in one failure domain.
func domainKey(key hasher.Hash, site registrar.Site) hasher.Hash {
	return hasher.Mix(key, hasher.OfString(string(site)))
}

// domainOf returns the failure domain of the region that a key belongs to for this daemon's
// callers, "" if none has upstreams. A domain with fewer slots than its share of the region's
// leaves the rest of its keys to the others.
func (a *Assigner) domainOf(key hasher.Hash, all *cataloger.Pool) registrar.Site {
	slots := map[string]float64{}
	for _, g := range all.Groups() {
		if g.Site.Region() == a.Region {
			slots[string(g.Site)] = float64(g.Slots)
		}
	}
	own := func(fraction float64) float64 { return fraction }
	return registrar.Site(splitBySlots(slots, string(a.Site), a.Domains, own).regionOf(key))
}

// homeInRegion reports whether a key has its homes in this region. A key that has a home stays
// where it is, since a move costs a run at an upstream that does not know it. The caller holds
// the lock.
func (a *Assigner) homeInRegion(key hasher.Hash, site registrar.Site, r Request, all *cataloger.Pool) bool {
	if a.homes[domainKey(key, site)] != nil {
		return true
	}
	if h := a.homes[key]; h != nil {
		if u := findUpstream(all, h.upstream, r.Allowed); u != nil {
			return u.Site.Region() == a.Region
		}
	}
	if a.Without.Has(switcher.HomeRegions) {
		return true
	}
	return a.regionSplit(r, all).regionOf(key) == a.Region
}
