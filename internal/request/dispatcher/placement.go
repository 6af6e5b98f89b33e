package dispatcher

import (
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// place notes why u is the choice for the next sending. It is called before the key's visit
// to u is noted.
func (x *exchange) place(u *cataloger.Upstream) {
	x.decision.Placement = x.placement(u)
}

func (x *exchange) placement(u *cataloger.Upstream) assigner.Placement {
	p := assigner.Placement{Upstream: u}
	switch {
	case x.careful():
		p.Reason = assigner.Isolated
	case len(x.tried) > 0 && x.tried[len(x.tried)-1] == u.Incarnation():
		p.Reason = assigner.RepeatedThere
	case len(x.tried) > 0:
		p.Reason = assigner.Repeated
	case !x.homed():
		p.Reason = assigner.Keyless
	case u == x.homePlacement.Upstream:
		return x.homePlacement
	default:
		p.Reason = assigner.Visiting
		p.Former = x.d.Homes.Knows(x.key, u)
	}
	return p
}
