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
	// Slots is the average number of slots that would be in use, Limit the number that
	// may be.
	Slots float64
	Limit float64
}

// Predict returns the use of every site after all moves that the settings ask for have
// completed, at the measured load.
func Predict(r *resolver.Resolved, l Load, wall timekeeper.Millis) []Use {
	var out []Use
	for _, service := range r.Services {
		available := availableCapacity(r, service, wall)
		use := weights{}
		for origin, d := range targets(r, service, l.Work[service], wall, completedShifts(r), nil) {
			for _, p := range d {
				use[registrar.Site(p.Site)] += l.Work[service][origin] * p.Share.Fraction()
			}
		}
		for _, site := range r.Sites {
			s := r.At(site, service)
			if s.Capacity() > 0 {
				out = append(out, Use{Site: site, Service: service, Slots: use[site], Limit: available[site] * s.Limit})
			}
		}
	}
	return out
}

// completedShifts returns the shifts of the settings as completed.
func completedShifts(r *resolver.Resolved) []Progress {
	var out []Progress
	for _, s := range r.Shifts {
		out = append(out, Progress{Service: s.Service, From: s.From, To: s.To, Moved: s.Share, Cap: s.Cap})
	}
	return out
}

// Check returns the sites that the settings would overload and the services that they
// would leave without a site.
func Check(r *resolver.Resolved, l Load, wall timekeeper.Millis) parser.Problems {
	var out parser.Problems
	for _, service := range r.Services {
		if len(l.Work[service]) > 0 && len(availableCapacity(r, service, wall)) == 0 {
			out = append(out, parser.Problem{Path: string(service), Text: "no site is left for its traffic"})
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
