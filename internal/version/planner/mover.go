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
	// capMargin keeps a move below its cap in any minute, although the minute may begin
	// with up to maxAccrual of unused credit.
	capMargin = 0.95

	// maxAccrual is the longest time for which unused credit accumulates, and so bounds
	// the size of one step.
	maxAccrual = 2 * timekeeper.Second

	// minStepInterval is the minimum time between two steps, so that the effect of one
	// can be measured before the next.
	minStepInterval = timekeeper.Second

	// minStep is the smallest step for which a new plan is issued. A route that is
	// closer to its target counts as converged.
	minStep = sharer.Whole / 10000
)

type (
	// Load is the measured load. It lags behind the actual load.
	Load struct {
		// Work is the average number of slots in use, by service and origin.
		Work map[resolver.ServiceName]Demand
		// Stale lists the regions without a recent measurement. While it is not empty,
		// no traffic moves anywhere: a missing measurement does not mean zero load.
		Stale []string
	}

	// Input holds everything that a step of the planner depends on.
	Input struct {
		Settings *resolver.Resolved
		Number   recorder.Number
		Last     Plan
		// InForce reports whether all daemons have acknowledged the last plan.
		InForce bool
		Load    Load
		// Now is monotonic. Wall is the wall-clock time, for settings that contain a
		// time.
		Now  timekeeper.Millis
		Wall timekeeper.Millis
	}

	// Mover moves plans towards their targets in steps. The zero value is ready for
	// use. It is not safe for concurrent use.
	Mover struct {
		// credit is the fraction of its traffic that each route may still move now.
		credit      map[routeKey]float64
		shiftCredit map[shiftKey]float64
		spillover   spillover
		lastAccrual timekeeper.Millis
		lastStep    timekeeper.Millis
		// converged reports for each service whether all of its routes are at their
		// targets.
		converged map[resolver.ServiceName]bool
		// demand is the last complete measurement.
		demand map[resolver.ServiceName]Demand
		// target is the target traffic split of each route in this step.
		target map[routeKey]sharer.Split
	}
)

// Add adds slots in use by the requests of an origin for a service.
func (l *Load) Add(service resolver.ServiceName, origin registrar.Site, slots float64) {
	if l.Work == nil {
		l.Work = map[resolver.ServiceName]Demand{}
	}
	if l.Work[service] == nil {
		l.Work[service] = Demand{}
	}
	l.Work[service][origin] += slots
}

// Step returns the next plan and whether it differs from the last one. Its holds list
// the moves that are held back and why.
func (m *Mover) Step(in Input) (Plan, bool) {
	m.initialize(in)
	m.accrueCredit(in)
	next := in.Last
	if in.Now-m.lastStep >= minStepInterval {
		next.Shifts = m.advanceShifts(in)
	}
	m.computeTargets(in, next.Shifts)
	next.Settings = in.Number
	next.AtMillis = in.Wall
	next.Routes = nil
	next.Holds = nil
	for _, service := range in.Settings.Services {
		m.converged[service] = true
		for _, origin := range in.Settings.Sites {
			m.addRoute(in, &next, routeKey{service, origin})
		}
	}
	next.sort()
	if equalRoutes(in.Last, next) {
		return next, !slices.Equal(in.Last.Holds, next.Holds) || !slices.Equal(in.Last.Shifts, next.Shifts)
	}
	next.Number++
	m.lastStep = in.Now
	return next, true
}

func (m *Mover) initialize(in Input) {
	if m.credit != nil {
		return
	}
	m.credit = map[routeKey]float64{}
	m.shiftCredit = map[shiftKey]float64{}
	m.converged = map[resolver.ServiceName]bool{}
	m.spillover = spillover{}
	m.lastAccrual = in.Now
	m.lastStep = in.Now - minStepInterval
}

// computeTargets computes the target of every route. While measurements are missing it
// uses the last complete ones, so that the spillover does not change.
func (m *Mover) computeTargets(in Input, shifts []Progress) {
	if m.demand == nil || len(in.Load.Stale) == 0 {
		m.demand = in.Load.Work
	}
	m.target = map[routeKey]sharer.Split{}
	for _, service := range in.Settings.Services {
		for origin, d := range targets(in.Settings, service, m.demand[service], in.Wall, shifts, m.spillover) {
			m.target[routeKey{service, origin}] = d
		}
	}
}

// accrueCredit adds the credit of every route and shift for the time since the last
// call, at most maxAccrual.
func (m *Mover) accrueCredit(in Input) {
	elapsed := min(in.Now-m.lastAccrual, maxAccrual)
	m.lastAccrual = in.Now
	for _, service := range in.Settings.Services {
		for _, origin := range in.Settings.Sites {
			k := routeKey{service, origin}
			m.credit[k] = accrued(m.credit[k], in.Settings.At(origin, service).MoveCap*capMargin, elapsed)
		}
	}
	m.accrueShiftCredit(in, elapsed)
}

// addRoute adds the route of k to next, moved towards its target as far as is allowed
// now.
func (m *Mover) addRoute(in Input, next *Plan, k routeKey) {
	target := m.target[k]
	current, ok := in.Last.Route(k.service, k.origin)
	if target == nil {
		// No site is available. The route in force is kept.
		if ok {
			next.Routes = append(next.Routes, Route{k.service, k.origin, current})
			next.Holds = append(next.Holds, Hold{k.service, k.origin, "no site accepts traffic for the service"})
		}
		return
	}
	if !ok {
		next.Routes = append(next.Routes, Route{k.service, k.origin, target})
		return
	}
	split := current
	if current.Distance(target) > 0 {
		step, reason := m.step(in, next, k, current, target)
		if reason != "" {
			next.Holds = append(next.Holds, Hold{k.service, k.origin, reason})
		}
		split = step
	}
	if split.Distance(target) > minStep {
		m.converged[k.service] = false
	}
	next.Routes = append(next.Routes, Route{k.service, k.origin, split})
}

// step returns the traffic split after one step towards target, or the current one and
// the reason why it is held back. The reason is empty when the route only has to wait
// for the interval or for credit.
func (m *Mover) step(in Input, next *Plan, k routeKey, current, target sharer.Split) (sharer.Split, string) {
	if !in.InForce {
		return current, "the last plan is not in force on all daemons yet"
	}
	if len(in.Load.Stale) > 0 {
		return current, fmt.Sprintf("no fresh measurement from %s", in.Load.Stale[0])
	}
	if in.Now-m.lastStep < minStepInterval {
		return current, ""
	}
	size := sharer.FromFraction(m.credit[k])
	if size < minStep {
		return current, ""
	}
	to := current.Toward(target, size)
	if reason := overloadReason(in, next, k, to); reason != "" {
		return current, reason
	}
	m.credit[k] -= current.Distance(to).Fraction()
	return to, ""
}

// overloadReason names a site that would exceed its limit if the route of k changed to
// the given split, with every other route counted at the larger of its last and next
// share. It is empty if there is none.
func overloadReason(in Input, next *Plan, k routeKey, to sharer.Split) string {
	current, _ := in.Last.Route(k.service, k.origin)
	for _, p := range to {
		if p.Share <= current.Of(p.Site) {
			continue
		}
		site := registrar.Site(p.Site)
		s := in.Settings.At(site, k.service)
		if s == nil {
			return fmt.Sprintf("%s is not in the settings", site)
		}
		limit := float64(s.Capacity()) * s.Limit
		use := predictedUse(in, next, k, to, site)
		if use > limit {
			return fmt.Sprintf("%s would need %.0f of the %.0f slots it may fill", site, use, limit)
		}
	}
	return ""
}

// predictedUse returns the slots in use at site while daemons route by any mix of the
// last plan and the next.
func predictedUse(in Input, next *Plan, k routeKey, to sharer.Split, site registrar.Site) float64 {
	var use float64
	for origin, w := range in.Load.Work[k.service] {
		current, _ := in.Last.Nearest(k.service, origin)
		share := current.Of(string(site))
		if origin == k.origin {
			share = max(share, to.Of(string(site)))
		} else {
			share = max(share, shareIn(next, k.service, origin, site))
		}
		use += w * share.Fraction()
	}
	return use
}

// shareIn returns the share of site for an origin in a plan under construction. Its
// routes are not sorted yet, so Plan.Nearest cannot be used.
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
