package planner

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Loss is the predicted effect of losing one failure domain or region.
	Loss struct {
		// Lost is the path of the failure domain or region: "erie/a" or "erie".
		Lost string
		// Over lists the sites that would exceed their limits. Unserved lists the
		// services that would have no site left.
		Over     []Use                  `json:",omitempty"`
		Unserved []resolver.ServiceName `json:",omitempty"`
	}

	// Headroom is the free fraction of the limit of a service in a region.
	Headroom struct {
		Region  string
		Service resolver.ServiceName
		// Now is the headroom with all sites available, After the headroom after the
		// worst loss, which Without names. A negative value means that the limit is
		// exceeded by that fraction.
		Now     float64
		After   float64
		Without string
	}
)

// Covered reports whether the remaining sites can carry the load.
func (l Loss) Covered() bool {
	return len(l.Over) == 0 && len(l.Unserved) == 0
}

// Losses predicts the effect of losing each failure domain and each region, and returns
// the headroom of each region now and after the worst loss for it. The callers of a lost
// failure domain or region remain, and their requests go to the other sites.
func Losses(r *resolver.Resolved, l Load, wall timekeeper.Millis) ([]Loss, []Headroom) {
	headroom := headroomByRegion(Predict(r, l, wall))
	var out []Loss
	for _, name := range lossScopes(r) {
		lost := func(s registrar.Site) bool { return string(s) == name || s.Region() == name }
		remaining := r.WithoutUpstreamsAt(lost)
		uses := Predict(remaining, l, wall)
		out = append(out, lossOf(name, remaining, l, uses, wall))
		for k, free := range headroomByRegion(uses) {
			if h := headroom[k]; k.region != name && free.Now < h.After {
				h.After, h.Without = free.Now, name
			}
		}
	}
	return out, sortedHeadroom(headroom)
}

// lossScopes lists the regions, and the failure domains of regions that have more than
// one.
func lossScopes(r *resolver.Resolved) []string {
	count := map[string]int{}
	for _, s := range r.Sites {
		count[s.Region()]++
	}
	var out []string
	for _, s := range r.Sites {
		if count[s.Region()] > 1 {
			out = append(out, string(s))
		}
		if !slices.Contains(out, s.Region()) {
			out = append(out, s.Region())
		}
	}
	slices.Sort(out)
	return out
}

func lossOf(name string, remaining *resolver.Resolved, l Load, uses []Use, wall timekeeper.Millis) Loss {
	loss := Loss{Lost: name}
	for _, service := range remaining.Services {
		if len(l.Work[service]) > 0 && len(availableCapacity(remaining, service, wall)) == 0 {
			loss.Unserved = append(loss.Unserved, service)
		}
	}
	for _, u := range uses {
		if u.Slots > u.Limit && u.Slots > 0 {
			loss.Over = append(loss.Over, u)
		}
	}
	return loss
}

type headroomKey struct {
	region  string
	service resolver.ServiceName
}

// headroomByRegion sums the use of sites by region and service.
func headroomByRegion(uses []Use) map[headroomKey]*Headroom {
	limits, slots := map[headroomKey]float64{}, map[headroomKey]float64{}
	for _, u := range uses {
		k := headroomKey{u.Site.Region(), u.Service}
		limits[k] += u.Limit
		slots[k] += u.Slots
	}
	out := map[headroomKey]*Headroom{}
	for k, limit := range limits {
		if limit == 0 {
			continue
		}
		free := 1 - slots[k]/limit
		out[k] = &Headroom{Region: k.region, Service: k.service, Now: free, After: free}
	}
	return out
}

func sortedHeadroom(byKey map[headroomKey]*Headroom) []Headroom {
	out := make([]Headroom, 0, len(byKey))
	for _, h := range byKey {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b Headroom) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	return out
}
