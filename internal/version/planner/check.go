package planner

import (
	"fmt"

	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Use is the load of one service at one site.
type Use struct {
	Site    registrar.Site
	Service resolver.ServiceName
	// Slots is how many slots would be in use on average, Limit how many may
	// be.
	Slots float64
	Limit float64
}

// Predict returns the use of every site once every move that settings ask for
// is done, going by the measured load.
func Predict(r *resolver.Resolved, l Load, wall timekeeper.Millis) []Use {
	var out []Use
	for _, service := range r.Services {
		open := openCapacity(r, service, wall)
		use := weights{}
		for origin, d := range targets(r, service, l.Work[service], wall, whole(r), nil) {
			for _, p := range d {
				use[registrar.Site(p.Site)] += l.Work[service][origin] * p.Share.Fraction()
			}
		}
		for _, site := range r.Sites {
			s := r.At(site, service)
			if s.Capacity() > 0 {
				out = append(out, Use{Site: site, Service: service, Slots: use[site], Limit: open[site] * s.Limit})
			}
		}
	}
	return out
}

// whole is the shifts of the settings when all is done.
func whole(r *resolver.Resolved) []Progress {
	var out []Progress
	for _, s := range r.Shifts {
		out = append(out, Progress{Service: s.Service, From: s.From, To: s.To, Moved: s.Share, Cap: s.Cap})
	}
	return out
}

// Check says which sites settings would overload and which services they would
// leave without any site.
func Check(r *resolver.Resolved, l Load, wall timekeeper.Millis) parser.Problems {
	var out parser.Problems
	for _, service := range r.Services {
		if len(l.Work[service]) > 0 && len(openCapacity(r, service, wall)) == 0 {
			out = append(out, parser.Problem{Path: string(service), Text: "no site would be left to take its traffic"})
		}
	}
	for _, u := range Predict(r, l, wall) {
		if u.Slots > u.Limit && u.Slots > 0 {
			out = append(out, parser.Problem{
				Path: resolver.PathOf(u.Site, u.Service).String(),
				Text: fmt.Sprintf("would need %.0f of the %.0f slots it may fill", u.Slots, u.Limit),
			})
		}
	}
	return out
}
