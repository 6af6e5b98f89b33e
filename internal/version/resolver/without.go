package resolver

import "github.com/gullvale/gullvale/pkg/registrar"

// WithoutUpstreamsAt returns a copy of r in which the sites selected by lost have no
// upstreams. Their callers remain.
func (r *Resolved) WithoutUpstreamsAt(lost func(registrar.Site) bool) *Resolved {
	next := *r
	next.bySite = make(map[registrar.Site]map[ServiceName]*Service, len(r.bySite))
	for site, services := range r.bySite {
		if !lost(site) {
			next.bySite[site] = services
			continue
		}
		next.bySite[site] = make(map[ServiceName]*Service, len(services))
		for name, s := range services {
			emptied := *s
			emptied.Upstreams = nil
			next.bySite[site][name] = &emptied
		}
	}
	return &next
}
