package assigner

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Request holds what determines the home of a key besides the key itself.
	Request struct {
		Service resolver.ServiceName
		Route   string
		// Objective is the time within which a response has its full value.
		Objective timekeeper.Millis
		// Domain is the failure domain in which the key has its home, "" if any domain of its
		// region will do. Localize sets it.
		Domain registrar.Site
		// Allowed reports whether the request may run in a region.
		Allowed func(region string) bool
	}

	// routeDemand is the load of one route: each request counts as much as its objective,
	// which is roughly proportional to its run time.
	routeDemand struct {
		route     string
		objective timekeeper.Millis
		work      float64
	}

	// demands are the loads of the routes of one service.
	demands []routeDemand
)

// record adds a request of the given weight.
func (d demands) record(r Request, weight float64) demands {
	i := slices.IndexFunc(d, func(e routeDemand) bool { return e.route == r.Route })
	if i < 0 {
		i = len(d)
		d = append(d, routeDemand{route: r.Route})
	}
	d[i].objective = r.Objective
	d[i].work += weight * float64(r.Objective)
	return d
}

// localShare returns the fraction of a route's keys that stays in the region of the callers,
// where own is the fraction of all work that may stay there. Routes with the tightest
// objectives come first, because a round trip between regions takes the largest part of
// theirs. In a region with too few upstreams for its callers, this order raises the value of
// the responses of the tightest route and of all routes together.
func (d demands) localShare(route string, own float64) float64 {
	order := slices.Clone(d)
	slices.SortFunc(order, func(a, b routeDemand) int {
		return cmp.Or(cmp.Compare(a.objective, b.objective), cmp.Compare(a.route, b.route))
	})
	total := 0.0
	for _, e := range order {
		total += e.work
	}
	remaining := own * total
	for _, e := range order {
		if e.route == route && e.work > 0 {
			return min(max(remaining/e.work, 0), 1)
		}
		remaining -= e.work
	}
	return own
}
