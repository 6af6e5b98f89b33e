package planner

import (
	"fmt"

	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Check says which sites settings would overload once every move they ask for
// is done, going by the measured load, and which services they leave without
// any site.
func Check(r *resolver.Resolved, l Load, wall timekeeper.Millis) parser.Problems {
	var out parser.Problems
	for _, service := range r.Services {
		out = append(out, checkService(r, l, service, wall)...)
	}
	return out
}

func checkService(r *resolver.Resolved, l Load, service resolver.ServiceName, wall timekeeper.Millis) parser.Problems {
	open := openCapacity(r, service, wall)
	work := l.Work[service]
	if len(open) == 0 && len(work) > 0 {
		return parser.Problems{{Path: string(service), Text: "no site would be left to take its traffic"}}
	}
	use := map[registrar.Site]float64{}
	for origin, w := range work {
		for _, p := range Target(r, service, origin, wall) {
			use[registrar.Site(p.Site)] += w * p.Share.Fraction()
		}
	}
	var out parser.Problems
	for _, site := range r.Sites {
		s := r.At(site, service)
		if limit := open[site] * s.Limit; use[site] > limit && use[site] > 0 {
			out = append(out, parser.Problem{
				Path: resolver.PathOf(site, service).String(),
				Text: fmt.Sprintf("would need %.0f of the %.0f slots it may fill", use[site], limit),
			})
		}
	}
	return out
}
