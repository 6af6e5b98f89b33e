package planner

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/packer"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// ObjectName is the name of the stored object that holds the plan.
const ObjectName = "Plan/Current"

type (
	// Number is the sequence number of a plan. It only increases.
	Number uint64

	// Plan is the traffic split of every service and origin.
	Plan struct {
		Number   Number
		Fence    leaser.Fence
		Settings recorder.Number
		AtMillis timekeeper.Millis
		Routes   []Route
		// Shifts is the progress of each shift. Targets are computed from it, so the
		// cap of a shift limits only the traffic that the shift itself moves.
		Shifts []Progress `json:",omitempty"`
		// Holds lists the moves that are held back, with reasons for the operator.
		Holds []Hold `json:",omitempty"`
	}

	// Route is the traffic split of one service for the requests of one origin.
	Route struct {
		Service  resolver.ServiceName
		Origin   registrar.Site
		Division sharer.Split
	}

	// Progress is the progress of one shift. It remains after the shift is removed from
	// the settings until all of its traffic has moved back.
	Progress struct {
		Service resolver.ServiceName
		From    string
		To      string
		// Moved is the fraction of the traffic of From that has moved.
		Moved float64
		// Cap is the largest fraction that may move per minute.
		Cap float64
	}

	// Hold is a move that is held back, and why.
	Hold struct {
		Service resolver.ServiceName
		Origin  registrar.Site
		Reason  string
	}

	// routeKey identifies a route.
	routeKey struct {
		service resolver.ServiceName
		origin  registrar.Site
	}
)

// Decode decodes a plan from the body of its stored object.
func Decode(body []byte) (Plan, error) {
	var p Plan
	err := packer.Unpack(body, &p)
	return p, eris.Wrap(err, "plan")
}

// Encode returns the body of the stored object for p.
func (p Plan) Encode() ([]byte, error) {
	return packer.Pack(p)
}

// Shift returns the progress of a shift. A shift that p does not contain has moved
// nothing.
func (p Plan) Shift(s resolver.ServiceName, from, to string) Progress {
	for _, x := range p.Shifts {
		if x.Service == s && x.From == from && x.To == to {
			return x
		}
	}
	return Progress{Service: s, From: from, To: to}
}

// Route returns the traffic split for a service and origin, and whether the plan
// contains one.
func (p Plan) Route(s resolver.ServiceName, origin registrar.Site) (sharer.Split, bool) {
	i, ok := slices.BinarySearchFunc(p.Routes, routeKey{s, origin}, func(r Route, k routeKey) int {
		return compareKeys(routeKey{r.Service, r.Origin}, k)
	})
	if !ok {
		return nil, false
	}
	return p.Routes[i].Division, true
}

// Nearest returns the traffic split for a service and origin. For an origin that the
// plan does not contain, it returns that of another origin in the same region.
func (p Plan) Nearest(s resolver.ServiceName, origin registrar.Site) (sharer.Split, bool) {
	if d, ok := p.Route(s, origin); ok {
		return d, true
	}
	for _, r := range p.Routes {
		if r.Service == s && r.Origin.Region() == origin.Region() {
			return r.Division, true
		}
	}
	return nil, false
}

func (p *Plan) sort() {
	slices.SortFunc(p.Routes, func(a, b Route) int {
		return compareKeys(routeKey{a.Service, a.Origin}, routeKey{b.Service, b.Origin})
	})
}

func compareKeys(a, b routeKey) int {
	if c := strings.Compare(string(a.service), string(b.service)); c != 0 {
		return c
	}
	return strings.Compare(string(a.origin), string(b.origin))
}

// equalRoutes reports whether two plans route traffic identically.
func equalRoutes(a, b Plan) bool {
	return slices.EqualFunc(a.Routes, b.Routes, func(x, y Route) bool {
		return x.Service == y.Service && x.Origin == y.Origin && slices.Equal(x.Division, y.Division)
	})
}
