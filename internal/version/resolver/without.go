package resolver

import "github.com/gullvale/gullvale/pkg/registrar"

// Without returns r as it would be if some sites lost all their upstreams. Their
// callers stay.
func (r *Resolved) Without(lost func(registrar.Site) bool) *Resolved {
	next := *r
	next.services = make(map[registrar.Site]map[ServiceName]*Service, len(r.services))
	for site, services := range r.services {
		if !lost(site) {
			next.services[site] = services
			continue
		}
		next.services[site] = make(map[ServiceName]*Service, len(services))
		for name, s := range services {
			bare := *s
			bare.Upstreams = nil
			next.services[site][name] = &bare
		}
	}
	return &next
}
