package planner

import (
	"math"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// fill is up to which part of its limit a region is filled before traffic
	// spills to others.
	fill = 0.94

	// spillSteps is how finely the part that spills is adjusted. Load is noisy,
	// and every adjustment moves callers to caches that do not know them.
	spillSteps = 16

	// spillSlack is how many steps less must be needed before less spills.
	spillSlack = 2
)

type (
	// Demand is the slots in use by the requests of each origin for one
	// service.
	Demand map[registrar.Site]float64

	// weights are shares of one origin that need not add to anything.
	weights map[registrar.Site]float64

	// spill is the part of a region's traffic that goes elsewhere, in steps.
	spill map[spillKey]int

	spillKey struct {
		service resolver.ServiceName
		region  string
	}

	// regionRoom is what a region may carry and does.
	regionRoom struct {
		open weights
		may  float64
		use  float64
	}
)

// Targets works out targets without measurements, and remembers what they have in
// common. The zero value is ready; it serves one service.
type Targets struct {
	open     weights
	byRegion map[string]sharer.Division
}

// Of is where the traffic of one origin is to go as far as settings alone tell: to
// the sites of its own region in proportion to their capacity, to all other
// regions when its own has none left. A fresh deployment steers by it until there
// is a plan, from which shifts then begin.
func (t *Targets) Of(r *resolver.Resolved, service resolver.ServiceName, origin registrar.Site, wall timekeeper.Millis) sharer.Division {
	if t.open == nil {
		t.open = openCapacity(r, service, wall)
		t.byRegion = map[string]sharer.Division{}
	}
	d, ok := t.byRegion[origin.Region()]
	if !ok {
		d = sharer.Proportional(target(t.open, service, origin, nil))
		t.byRegion[origin.Region()] = d
	}
	return d
}

// targets is where the traffic of all origins is to go with shifts as far as
// they have come, and with what exceeds the room of a region spilling to those
// that have some. Without demand nothing spills.
func targets(r *resolver.Resolved, service resolver.ServiceName, d Demand, wall timekeeper.Millis, shifts []Progress, s spill) map[registrar.Site]sharer.Division {
	open := openCapacity(r, service, wall)
	wanted := map[registrar.Site]weights{}
	for _, origin := range r.Sites {
		wanted[origin] = target(open, service, origin, shifts)
	}
	spillOver(regionRooms(r, service, open, wanted, d), service, wanted, s)
	out := map[registrar.Site]sharer.Division{}
	for origin, w := range wanted {
		out[origin] = sharer.Proportional(w)
	}
	return out
}

func target(open weights, service resolver.ServiceName, origin registrar.Site, shifts []Progress) weights {
	w := open.in(origin.Region())
	if len(w) == 0 {
		w = open.in("")
	}
	w = w.normal()
	for _, s := range shifts {
		if s.Service == service {
			w.move(s.From, open.in(s.To), s.Moved)
		}
	}
	return w
}

// openCapacity returns the capacity of each site that takes the service.
func openCapacity(r *resolver.Resolved, service resolver.ServiceName, wall timekeeper.Millis) weights {
	out := weights{}
	for _, site := range r.Sites {
		s := r.At(site, service)
		if s == nil || s.DrainedAt(wall) || s.Capacity() == 0 {
			continue
		}
		out[site] = float64(s.Capacity())
	}
	return out
}

// regionRooms adds up, for each region with open sites, what it may carry and
// what it would.
func regionRooms(r *resolver.Resolved, service resolver.ServiceName, open weights, wanted map[registrar.Site]weights, d Demand) map[string]*regionRoom {
	rooms := map[string]*regionRoom{}
	for site, capacity := range open {
		room := rooms[site.Region()]
		if room == nil {
			room = &regionRoom{open: open.in(site.Region())}
			rooms[site.Region()] = room
		}
		room.may += capacity * r.At(site, service).Limit * fill
	}
	for origin, w := range wanted {
		for site, share := range w {
			rooms[site.Region()].use += d[origin] * share
		}
	}
	return rooms
}

// spillOver moves what is too much for a region to regions with room, to each in
// proportion to its room.
func spillOver(rooms map[string]*regionRoom, service resolver.ServiceName, wanted map[registrar.Site]weights, s spill) {
	room := weights{}
	var total float64
	for _, x := range rooms {
		if free := x.may - x.use; free > 0 {
			total += free
			for site, w := range x.open.normal() {
				room[site] = free * w
			}
		}
	}
	if total == 0 {
		return
	}
	for region, x := range rooms {
		part := s.adjust(spillKey{service, region}, x)
		if part == 0 {
			continue
		}
		for _, w := range wanted {
			w.move(region, room, part)
		}
	}
}

// adjust returns the part of a region's traffic that spills. It grows as soon
// as that is needed and shrinks only when clearly less is.
func (s spill) adjust(k spillKey, x *regionRoom) float64 {
	need := 0
	if x.use > x.may {
		need = int(math.Ceil((1 - x.may/x.use) * spillSteps))
	}
	if s == nil {
		return float64(need) / spillSteps
	}
	if have := s[k]; need < have && need >= have-spillSlack && have > spillSlack {
		need = have
	}
	s[k] = need
	return float64(need) / spillSteps
}

// in returns the weights of a region, or all of them for "".
func (w weights) in(region string) weights {
	out := weights{}
	for site, x := range w {
		if region == "" || site.Region() == region {
			out[site] = x
		}
	}
	return out
}

// normal returns w scaled to add to 1.
func (w weights) normal() weights {
	var sum float64
	for _, x := range w {
		sum += x
	}
	out := weights{}
	for site, x := range w {
		out[site] = x / sum
	}
	return out
}

// move takes a part of what lies in a region to the sites of another. With
// nowhere to go it stays.
func (w weights) move(from string, to weights, part float64) {
	if len(to) == 0 {
		return
	}
	var moved float64
	for site, x := range w {
		if site.Region() == from {
			moved += x * part
			w[site] = x * (1 - part)
		}
	}
	for site, x := range to.normal() {
		w[site] += moved * x
	}
}
