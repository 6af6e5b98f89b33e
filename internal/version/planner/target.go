package planner

import (
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Target is where the traffic of one origin is to go when every move is done:
// to the sites of its own region in proportion to their capacity, to all other
// regions when its own has none left, and from there wherever operators shift
// it. It needs no measurement, so a fresh deployment steers by it alone.
func Target(r *resolver.Resolved, service resolver.ServiceName, origin registrar.Site, now timekeeper.Millis) sharer.Division {
	open := openCapacity(r, service, now)
	weights := inRegion(open, origin.Region())
	if len(weights) == 0 {
		weights = open
	}
	d := sharer.Proportional(weights)
	for _, s := range r.Shifts {
		if s.Service == service {
			d = shifted(d, s, inRegion(open, s.To))
		}
	}
	return d
}

// openCapacity returns the capacity of each site that takes the service.
func openCapacity(r *resolver.Resolved, service resolver.ServiceName, now timekeeper.Millis) map[registrar.Site]float64 {
	out := map[registrar.Site]float64{}
	for _, site := range r.Sites {
		s := r.At(site, service)
		if s == nil || s.DrainedAt(now) || s.Capacity() == 0 {
			continue
		}
		out[site] = float64(s.Capacity())
	}
	return out
}

func inRegion(weights map[registrar.Site]float64, region string) map[registrar.Site]float64 {
	out := map[registrar.Site]float64{}
	for site, w := range weights {
		if site.Region() == region {
			out[site] = w
		}
	}
	return out
}

// shifted moves the share of the shift from the sites of one region to those of
// another. With nowhere to go the traffic stays.
func shifted(d sharer.Division, s resolver.Shift, to map[registrar.Site]float64) sharer.Division {
	if len(to) == 0 {
		return d
	}
	var total float64
	for _, w := range to {
		total += w
	}
	weights := map[registrar.Site]float64{}
	var moved float64
	for _, p := range d {
		site := registrar.Site(p.Site)
		part := p.Share.Fraction()
		if site.Region() == s.From {
			moved += part * s.Share
			part *= 1 - s.Share
		}
		weights[site] += part
	}
	for site, w := range to {
		weights[site] += moved * w / total
	}
	return sharer.Proportional(weights)
}

// capFor returns the part of an origin's traffic that may move in a minute
// between two divisions: the smallest cap of the shifts that the move serves,
// else what the settings allow for moves in general.
func capFor(r *resolver.Resolved, k key, from, to sharer.Division) float64 {
	limit := 0.0
	for _, s := range r.Shifts {
		if s.Service == k.service && serves(s, from, to) && (limit == 0 || s.Cap < limit) {
			limit = s.Cap
		}
	}
	if limit > 0 {
		return limit
	}
	if s := r.At(k.origin, k.service); s != nil {
		return s.MoveCap
	}
	return 0
}

// serves tells whether the move from one division to another takes traffic
// between the two regions of the shift, in either direction.
func serves(s resolver.Shift, from, to sharer.Division) bool {
	a := regionShare(to, s.From) - regionShare(from, s.From)
	b := regionShare(to, s.To) - regionShare(from, s.To)
	return (a < 0 && b > 0) || (a > 0 && b < 0)
}

func regionShare(d sharer.Division, region string) float64 {
	var t float64
	for _, p := range d {
		if registrar.Site(p.Site).Region() == region {
			t += p.Share.Fraction()
		}
	}
	return t
}
