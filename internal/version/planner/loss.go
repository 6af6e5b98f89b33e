package planner

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Loss is what the loss of one failure domain or region would do.
	Loss struct {
		// Lost is the path of what is lost: "erie" or "erie/a".
		Lost string
		// Over lists what would be filled beyond its limit, Unserved the services
		// for which no site would be left.
		Over     []Use                  `json:",omitempty"`
		Unserved []resolver.ServiceName `json:",omitempty"`
	}

	// Headroom is the part of what a service may fill in a region that is free.
	Headroom struct {
		Region  string
		Service resolver.ServiceName
		// Now is with everything there, After with Without lost, the loss that
		// leaves least. Below 0 the limit is exceeded by that part.
		Now     float64
		After   float64
		Without string
	}
)

// Covered tells whether the rest can carry what was lost.
func (l Loss) Covered() bool {
	return len(l.Over) == 0 && len(l.Unserved) == 0
}

// Losses works out what the loss of each failure domain and each region would do,
// and the headroom of each region now and after the loss that is worst for it.
// Callers of a lost place are still there and go elsewhere.
func Losses(r *resolver.Resolved, l Load, wall timekeeper.Millis) ([]Loss, []Headroom) {
	rooms := roomsOf(Predict(r, l, wall))
	var out []Loss
	for _, name := range places(r) {
		gone := func(s registrar.Site) bool { return string(s) == name || s.Region() == name }
		rest := r.Without(gone)
		uses := Predict(rest, l, wall)
		out = append(out, lossOf(name, rest, l, uses, wall))
		for k, free := range roomsOf(uses) {
			if h := rooms[k]; k.region != name && free.Now < h.After {
				h.After, h.Without = free.Now, name
			}
		}
	}
	return out, sorted(rooms)
}

// places lists the regions and the failure domains of regions that have several.
func places(r *resolver.Resolved) []string {
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

func lossOf(name string, rest *resolver.Resolved, l Load, uses []Use, wall timekeeper.Millis) Loss {
	x := Loss{Lost: name}
	for _, service := range rest.Services {
		if len(l.Work[service]) > 0 && len(openCapacity(rest, service, wall)) == 0 {
			x.Unserved = append(x.Unserved, service)
		}
	}
	for _, u := range uses {
		if u.Slots > u.Limit && u.Slots > 0 {
			x.Over = append(x.Over, u)
		}
	}
	return x
}

type roomKey struct {
	region  string
	service resolver.ServiceName
}

// roomsOf adds the uses of sites up to regions.
func roomsOf(uses []Use) map[roomKey]*Headroom {
	limits, slots := map[roomKey]float64{}, map[roomKey]float64{}
	for _, u := range uses {
		k := roomKey{u.Site.Region(), u.Service}
		limits[k] += u.Limit
		slots[k] += u.Slots
	}
	out := map[roomKey]*Headroom{}
	for k, limit := range limits {
		if limit == 0 {
			continue
		}
		free := 1 - slots[k]/limit
		out[k] = &Headroom{Region: k.region, Service: k.service, Now: free, After: free}
	}
	return out
}

func sorted(rooms map[roomKey]*Headroom) []Headroom {
	out := make([]Headroom, 0, len(rooms))
	for _, h := range rooms {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b Headroom) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	return out
}
