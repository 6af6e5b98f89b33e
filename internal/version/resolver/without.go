package resolver

import "github.com/gullvale/gullvale/pkg/registrar"

// Without returns r as it would be if some sites lost all their upstreams. Their
// callers stay.
func (r *Resolved) Without(lost func(registrar.Site) bool) *Resolved {
	next := *r
	next.at = make(map[registrar.Site]map[ServiceName]*Service, len(r.at))
	for site, services := range r.at {
		if !lost(site) {
			next.at[site] = services
			continue
		}
		next.at[site] = make(map[ServiceName]*Service, len(services))
		for name, s := range services {
			bare := *s
			bare.Upstreams = nil
			next.at[site][name] = &bare
		}
	}
	return &next
}
