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

// ObjectName is the name of the object that holds the plan.
const ObjectName = "Plan/Current"

type (
	// Number numbers plans. It only grows.
	Number uint64

	// Plan says, for each service and origin, how traffic divides among sites.
	Plan struct {
		Number   Number
		Fence    leaser.Fence
		Settings recorder.Number
		AtMillis timekeeper.Millis
		Routes   []Route
		// Shifts is how far each shift has come. Targets follow it, so the cap
		// of a shift bounds the shift and nothing else that moves.
		Shifts []Progress `json:",omitempty"`
		// Holds says, for people, why a move waits.
		Holds []Hold `json:",omitempty"`
	}

	// Route is the division of one origin's requests for one service.
	Route struct {
		Service  resolver.ServiceName
		Origin   registrar.Site
		Division sharer.Division
	}

	// Progress is how far a shift has come. It outlives the shift in the
	// settings until all has gone back.
	Progress struct {
		Service resolver.ServiceName
		From    string
		To      string
		// Moved is the part of the traffic of From that is moved.
		Moved float64
		// Cap is the part that may move in a minute.
		Cap float64
	}

	// Hold is a move that waits.
	Hold struct {
		Service resolver.ServiceName
		Origin  registrar.Site
		Reason  string
	}

	// key names a route.
	key struct {
		service resolver.ServiceName
		origin  registrar.Site
	}
)

// Decode reads a plan object.
func Decode(body []byte) (Plan, error) {
	var p Plan
	err := packer.Unpack(body, &p)
	return p, eris.Wrap(err, "plan")
}

// Encode writes a plan object.
func (p Plan) Encode() ([]byte, error) {
	return packer.Pack(p)
}

// Shift returns how far a shift has come.
func (p Plan) Shift(s resolver.ServiceName, from, to string) Progress {
	for _, x := range p.Shifts {
		if x.Service == s && x.From == from && x.To == to {
			return x
		}
	}
	return Progress{Service: s, From: from, To: to}
}

// Route returns the division for a service and origin.
func (p Plan) Route(s resolver.ServiceName, origin registrar.Site) (sharer.Division, bool) {
	i, ok := slices.BinarySearchFunc(p.Routes, key{s, origin}, func(r Route, k key) int {
		return compareKeys(key{r.Service, r.Origin}, k)
	})
	if !ok {
		return nil, false
	}
	return p.Routes[i].Division, true
}

// Nearest returns the division for a service and origin, or for an origin that the
// plan does not know, that of another in its region.
func (p Plan) Nearest(s resolver.ServiceName, origin registrar.Site) (sharer.Division, bool) {
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
		return compareKeys(key{a.Service, a.Origin}, key{b.Service, b.Origin})
	})
}

func compareKeys(a, b key) int {
	if c := strings.Compare(string(a.service), string(b.service)); c != 0 {
		return c
	}
	return strings.Compare(string(a.origin), string(b.origin))
}

// sameRoutes tells whether two plans steer alike.
func sameRoutes(a, b Plan) bool {
	return slices.EqualFunc(a.Routes, b.Routes, func(x, y Route) bool {
		return x.Service == y.Service && x.Origin == y.Origin && slices.Equal(x.Division, y.Division)
	})
}
