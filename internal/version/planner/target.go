package planner

import (
	"math"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxFill is the fraction of its limit to which a region is filled before its
	// traffic spills over to other regions.
	maxFill = 0.94

	// spilloverSteps is the number of steps in which the spillover fraction is
	// adjusted. The steps are coarse because load is noisy and every adjustment moves
	// callers to upstreams whose caches are cold for them.
	spilloverSteps = 16

	// spilloverHysteresis is the largest decrease of the need, in steps, that does not
	// yet reduce the spillover.
	spilloverHysteresis = 2
)

type (
	// Demand is the average number of slots in use for one service, by origin of the
	// requests.
	Demand map[registrar.Site]float64

	// weights are the relative weights of sites. They need not add up to 1.
	weights map[registrar.Site]float64

	// spillover holds the fraction of traffic that spills over, in steps of
	// 1/spilloverSteps, for each service and region.
	spillover map[spilloverKey]int

	spilloverKey struct {
		service resolver.ServiceName
		region  string
	}

	// regionLoad holds the capacity of a region and its load, in slots.
	regionLoad struct {
		available weights // capacity of the available sites
		limit     float64
		used      float64
	}
)

// Targets computes traffic splits without measurements for one service, and caches them
// by region. The zero value is ready for use.
type Targets struct {
	capacity weights
	byRegion map[string]sharer.Split
}

// Split returns the target traffic split of one origin as far as it follows from the
// settings alone: the sites of its own region in proportion to their capacity, or those
// of all regions when its own has no capacity. A new deployment routes by it until the
// first plan exists; shifts start from that plan.
func (t *Targets) Split(r *resolver.Resolved, service resolver.ServiceName, origin registrar.Site, wall timekeeper.Millis) sharer.Split {
	if t.capacity == nil {
		t.capacity = availableCapacity(r, service, wall)
		t.byRegion = map[string]sharer.Split{}
	}
	d, ok := t.byRegion[origin.Region()]
	if !ok {
		d = sharer.Proportional(originWeights(t.capacity, service, origin, nil))
		t.byRegion[origin.Region()] = d
	}
	return d
}

// targets returns the target traffic split of every origin, with the shifts at the
// progress given in shifts. Load beyond the limit of a region spills over to regions
// with spare capacity; without demand nothing spills over.
func targets(r *resolver.Resolved, service resolver.ServiceName, d Demand, wall timekeeper.Millis, shifts []Progress, s spillover) map[registrar.Site]sharer.Split {
	available := availableCapacity(r, service, wall)
	splits := map[registrar.Site]weights{}
	for _, origin := range r.Sites {
		splits[origin] = originWeights(available, service, origin, shifts)
	}
	applySpillover(regionLoads(r, service, available, splits, d), service, splits, s)
	out := map[registrar.Site]sharer.Split{}
	for origin, w := range splits {
		out[origin] = sharer.Proportional(w)
	}
	return out
}

func originWeights(available weights, service resolver.ServiceName, origin registrar.Site, shifts []Progress) weights {
	w := available.inRegion(origin.Region())
	if len(w) == 0 {
		w = available.inRegion("")
	}
	w = w.normalized()
	for _, s := range shifts {
		if s.Service == service {
			w.move(s.From, available.inRegion(s.To), s.Moved)
		}
	}
	return w
}

// availableCapacity returns the capacity, in slots, of each site that accepts traffic
// for the service.
func availableCapacity(r *resolver.Resolved, service resolver.ServiceName, wall timekeeper.Millis) weights {
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

// regionLoads returns the limit and the expected load of each region that has available
// sites.
func regionLoads(r *resolver.Resolved, service resolver.ServiceName, available weights, splits map[registrar.Site]weights, d Demand) map[string]*regionLoad {
	loads := map[string]*regionLoad{}
	for site, capacity := range available {
		load := loads[site.Region()]
		if load == nil {
			load = &regionLoad{available: available.inRegion(site.Region())}
			loads[site.Region()] = load
		}
		load.limit += capacity * r.At(site, service).Limit * maxFill
	}
	for origin, w := range splits {
		for site, share := range w {
			loads[site.Region()].used += d[origin] * share
		}
	}
	return loads
}

// applySpillover moves the load beyond the limit of a region to the regions with spare
// capacity, in proportion to that capacity.
func applySpillover(loads map[string]*regionLoad, service resolver.ServiceName, splits map[registrar.Site]weights, s spillover) {
	spare := weights{}
	var total float64
	for _, load := range loads {
		if free := load.limit - load.used; free > 0 {
			total += free
			for site, w := range load.available.normalized() {
				spare[site] = free * w
			}
		}
	}
	if total == 0 {
		return
	}
	for region, load := range loads {
		fraction := s.adjust(spilloverKey{service, region}, load)
		if fraction == 0 {
			continue
		}
		for _, w := range splits {
			w.move(region, spare, fraction)
		}
	}
}

// adjust updates and returns the fraction of a region's traffic that spills over. It
// increases as soon as necessary, and decreases only when the need is lower by more
// than spilloverHysteresis steps. With a nil state there is no hysteresis.
func (s spillover) adjust(k spilloverKey, load *regionLoad) float64 {
	need := 0
	if load.used > load.limit {
		need = int(math.Ceil((1 - load.limit/load.used) * spilloverSteps))
	}
	if s == nil {
		return float64(need) / spilloverSteps
	}
	if current := s[k]; need < current && need >= current-spilloverHysteresis && current > spilloverHysteresis {
		need = current
	}
	s[k] = need
	return float64(need) / spilloverSteps
}

// inRegion returns the weights of the sites in a region, or all weights if region is
// empty.
func (w weights) inRegion(region string) weights {
	out := weights{}
	for site, x := range w {
		if region == "" || site.Region() == region {
			out[site] = x
		}
	}
	return out
}

// normalized returns w scaled to a sum of 1.
func (w weights) normalized() weights {
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

// move moves a fraction of the weight of one region to the sites in to. If to is empty,
// nothing moves.
func (w weights) move(from string, to weights, fraction float64) {
	if len(to) == 0 {
		return
	}
	var moved float64
	for site, x := range w {
		if site.Region() == from {
			moved += x * fraction
			w[site] = x * (1 - fraction)
		}
	}
	for site, x := range to.normalized() {
		w[site] += moved * x
	}
}
