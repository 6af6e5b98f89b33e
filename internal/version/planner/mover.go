package planner

import (
	"fmt"
	"slices"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// capMargin keeps a move below its cap in every window, the burst of one
	// step included.
	capMargin = 0.95

	// burst is how much time's worth of movement one step may hold.
	burst = 2 * timekeeper.Second

	// settle is the least time between two steps of one route, so that the
	// effect of the last can be seen.
	settle = timekeeper.Second

	// smallest is the least step worth a plan.
	smallest = sharer.Whole / 10000
)

type (
	// Load is what was measured. It lags.
	Load struct {
		// Work is the slots in use by the requests of one origin for one
		// service, on average.
		Work map[resolver.ServiceName]Demand
		// Stale lists the regions from which no fresh measurement came.
		// Nothing moves anywhere while there is one: missing is not zero.
		Stale []string
	}

	// Input is everything a step of the planner depends on.
	Input struct {
		Settings *resolver.Resolved
		Number   recorder.Number
		Last     Plan
		// InForce tells that all daemons run the last plan.
		InForce bool
		Load    Load
		// Now is monotonic, Wall is for settings that name a time.
		Now  timekeeper.Millis
		Wall timekeeper.Millis
	}

	// Mover moves plans towards their target in steps. The zero value is
	// ready. It is for one goroutine.
	Mover struct {
		credit      map[key]float64
		shiftCredit map[shiftKey]float64
		spill       spill
		updated     timekeeper.Millis
		stepped     timekeeper.Millis
		// settled tells which services have all routes at their target.
		settled map[resolver.ServiceName]bool
		// work is the last demand that was measured whole.
		work map[resolver.ServiceName]Demand
		// target is where the traffic of each route is to go, as of this step.
		target map[key]sharer.Division
	}
)

// Add adds the slots in use by the requests of an origin.
func (l *Load) Add(service resolver.ServiceName, origin registrar.Site, slots float64) {
	if l.Work == nil {
		l.Work = map[resolver.ServiceName]Demand{}
	}
	if l.Work[service] == nil {
		l.Work[service] = Demand{}
	}
	l.Work[service][origin] += slots
}

// Step returns the next plan, and whether it differs from the last. Its holds
// say what waits and why.
func (m *Mover) Step(in Input) (Plan, bool) {
	m.begin(in)
	m.accrue(in)
	next := in.Last
	if in.Now-m.stepped >= settle {
		next.Shifts = m.shiftAll(in)
	}
	m.aim(in, next.Shifts)
	next.Settings = in.Number
	next.AtMillis = in.Wall
	next.Routes = nil
	next.Holds = nil
	for _, service := range in.Settings.Services {
		m.settled[service] = true
		for _, origin := range in.Settings.Sites {
			m.route(in, &next, key{service, origin})
		}
	}
	next.sort()
	if sameRoutes(in.Last, next) {
		return next, !slices.Equal(in.Last.Holds, next.Holds) || !slices.Equal(in.Last.Shifts, next.Shifts)
	}
	next.Number++
	m.stepped = in.Now
	return next, true
}

func (m *Mover) begin(in Input) {
	if m.credit != nil {
		return
	}
	m.credit = map[key]float64{}
	m.shiftCredit = map[shiftKey]float64{}
	m.settled = map[resolver.ServiceName]bool{}
	m.spill = spill{}
	m.updated = in.Now
	m.stepped = in.Now - settle
}

// aim works out the target of every route. Without fresh measurements it goes by
// the last that were whole, so that what spills stays as it is.
func (m *Mover) aim(in Input, shifts []Progress) {
	if m.work == nil || len(in.Load.Stale) == 0 {
		m.work = in.Load.Work
	}
	m.target = map[key]sharer.Division{}
	for _, service := range in.Settings.Services {
		for origin, d := range targets(in.Settings, service, m.work[service], in.Wall, shifts, m.spill) {
			m.target[key{service, origin}] = d
		}
	}
}

// accrue adds to what each route may move.
func (m *Mover) accrue(in Input) {
	since := min(in.Now-m.updated, burst)
	m.updated = in.Now
	for _, service := range in.Settings.Services {
		for _, origin := range in.Settings.Sites {
			k := key{service, origin}
			m.credit[k] = grown(m.credit[k], in.Settings.At(origin, service).MoveCap*capMargin, since)
		}
	}
	m.accrueShifts(in, since)
}

// route adds the route of k to next, moved by as much as is allowed now.
func (m *Mover) route(in Input, next *Plan, k key) {
	target := m.target[k]
	have, ok := in.Last.Route(k.service, k.origin)
	if target == nil {
		// Nowhere to go. What is in force stays.
		if ok {
			next.Routes = append(next.Routes, Route{k.service, k.origin, have})
			next.Holds = append(next.Holds, Hold{k.service, k.origin, "no site takes the service"})
		}
		return
	}
	if !ok {
		next.Routes = append(next.Routes, Route{k.service, k.origin, target})
		return
	}
	to := have
	if have.Distance(target) > 0 {
		step, reason := m.step(in, next, k, have, target)
		if reason != "" {
			next.Holds = append(next.Holds, Hold{k.service, k.origin, reason})
		}
		to = step
	}
	if to.Distance(target) > smallest {
		m.settled[k.service] = false
	}
	next.Routes = append(next.Routes, Route{k.service, k.origin, to})
}

// step returns the division after one step, or the present one and why.
func (m *Mover) step(in Input, next *Plan, k key, have, target sharer.Division) (sharer.Division, string) {
	if !in.InForce {
		return have, "waits until the last step is in force everywhere"
	}
	if len(in.Load.Stale) > 0 {
		return have, fmt.Sprintf("no fresh measurement from %s", in.Load.Stale[0])
	}
	if in.Now-m.stepped < settle {
		return have, ""
	}
	size := sharer.FromFraction(m.credit[k])
	if size < smallest {
		return have, ""
	}
	to := have.Toward(target, size)
	if reason := overload(in, next, k, to); reason != "" {
		return have, reason
	}
	m.credit[k] -= have.Distance(to).Fraction()
	return to, ""
}

// overload says which site would exceed its limit if the route of k became to,
// with every other route at the larger of its last and next share.
func overload(in Input, next *Plan, k key, to sharer.Division) string {
	have, _ := in.Last.Route(k.service, k.origin)
	for _, p := range to {
		if p.Share <= have.Of(p.Site) {
			continue
		}
		site := registrar.Site(p.Site)
		s := in.Settings.At(site, k.service)
		if s == nil {
			return fmt.Sprintf("%s is not in the settings", site)
		}
		limit := float64(s.Capacity()) * s.Limit
		use := predicted(in, next, k, to, site)
		if use > limit {
			return fmt.Sprintf("%s would need %.0f of the %.0f slots it may fill", site, use, limit)
		}
	}
	return ""
}

// predicted is the slots in use at site while daemons run the last plan or the
// next in any mix.
func predicted(in Input, next *Plan, k key, to sharer.Division, site registrar.Site) float64 {
	var use float64
	for origin, w := range in.Load.Work[k.service] {
		have, _ := in.Last.Nearest(k.service, origin)
		share := have.Of(string(site))
		if origin == k.origin {
			share = max(share, to.Of(string(site)))
		} else {
			share = max(share, shareIn(next, k.service, origin, site))
		}
		use += w * share.Fraction()
	}
	return use
}

// shareIn is the share of site in a plan that is still being put together: its
// routes are not sorted yet, so the plan itself cannot be asked.
func shareIn(p *Plan, service resolver.ServiceName, origin, site registrar.Site) sharer.Share {
	var nearest sharer.Share
	for _, r := range p.Routes {
		if r.Service != service || r.Origin.Region() != origin.Region() {
			continue
		}
		if r.Origin == origin {
			return r.Division.Of(string(site))
		}
		nearest = max(nearest, r.Division.Of(string(site)))
	}
	return nearest
}
