package estimator

import (
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minSamples is the number of runs of known keys after which a route has an estimate.
	minSamples = 8

	// medianStep is the part of an estimated median by which one sample changes it. A median
	// is not distorted by the few requests that run several times as long as the others.
	medianStep = 0.05

	// maxRoutes bounds the routes that are kept: configurations change, and with them the names.
	maxRoutes = 1000

	// meanWeight is the weight of the latest run in the moving average of a service.
	meanWeight = 0.02
)

type (
	// Estimator holds the run times seen by one daemon. All run times are those at the usual
	// pace of an upstream's host. The zero value is ready to use.
	Estimator struct {
		lock     sync.Mutex
		routes   map[routeKey]*route
		services map[resolver.ServiceName]float64
	}

	// RunTimes are the typical run times of a route's requests.
	RunTimes struct {
		// Known is the run time at an upstream that knows the request's key, First that at one
		// that does not.
		Known, First timekeeper.Millis
		// Mean is the mean run time of all requests of the service.
		Mean timekeeper.Millis
	}

	routeKey struct {
		service resolver.ServiceName
		route   string
	}

	route struct {
		known, first median
	}

	// median estimates the median of a stream of values.
	median struct {
		value   float64
		samples int
	}
)

// Record adds a run. known reports whether the upstream knew the request's key. pace is how much
// longer than usual work took on its host.
func (e *Estimator) Record(s resolver.ServiceName, name string, known bool, ran timekeeper.Millis, pace float64) {
	if ran <= 0 || pace <= 0 {
		return
	}
	usual := float64(ran) / pace
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.routeOf(routeKey{s, name})
	if known {
		r.known.add(usual)
	} else {
		r.first.add(usual)
	}
	if mean, ok := e.services[s]; ok {
		e.services[s] = mean + (usual-mean)*meanWeight
	} else {
		e.services[s] = usual
	}
}

// RunTimes returns the run times of a route, and false while too few runs were seen.
func (e *Estimator) RunTimes(s resolver.ServiceName, name string) (RunTimes, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.routes[routeKey{s, name}]
	if r == nil || r.known.samples < minSamples {
		return RunTimes{}, false
	}
	first := r.first.value
	if r.first.samples == 0 {
		first = r.known.value
	}
	return RunTimes{
		Known: timekeeper.Millis(r.known.value),
		First: timekeeper.Millis(max(first, r.known.value)),
		Mean:  timekeeper.Millis(e.services[s]),
	}, true
}

// routeOf returns the run times of a route. If there are too many routes, all are learned anew. The
// caller holds the lock.
func (e *Estimator) routeOf(k routeKey) *route {
	if e.routes == nil {
		e.routes, e.services = map[routeKey]*route{}, map[resolver.ServiceName]float64{}
	}
	r := e.routes[k]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		r = &route{}
		e.routes[k] = r
	}
	return r
}

func (m *median) add(v float64) {
	m.samples++
	switch {
	case m.samples <= minSamples:
		// The mean of the first few values is the starting point.
		m.value += (v - m.value) / float64(m.samples)
	case v > m.value:
		m.value *= 1 + medianStep
	case v < m.value:
		m.value *= 1 - medianStep
	}
}
