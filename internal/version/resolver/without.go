package resolver

import "github.com/gullvale/gullvale/pkg/registrar"

// Without returns r as it would be if some sites lost all their upstreams. Their
// callers stay.
func (r *Resolved) Without(lost func(registrar.Site) bool) *Resolved {
	next := *r
	next.bySite = make(map[registrar.Site]map[ServiceName]*Service, len(r.bySite))
	for site, services := range r.bySite {
		if !lost(site) {
			next.bySite[site] = services
			continue
		}
		next.bySite[site] = make(map[ServiceName]*Service, len(services))
		for name, s := range services {
			bare := *s
			bare.Upstreams = nil
			next.bySite[site][name] = &bare
		}
	}
	return &next
}
