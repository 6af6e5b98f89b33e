package dispatcher

import (
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// recordPlacement records why u was chosen for the next attempt. It must be called before the
// key's visit to u is recorded.
func (x *exchange) recordPlacement(u *cataloger.Upstream) {
	x.decision.Placement = x.placement(u)
}

func (x *exchange) placement(u *cataloger.Upstream) assigner.Placement {
	p := assigner.Placement{Upstream: u}
	switch {
	case x.isolated():
		p.Reason = assigner.Isolated
	case len(x.attempted) > 0 && x.attempted[len(x.attempted)-1] == u.Incarnation():
		p.Reason = assigner.RetriedAtSameUpstream
	case len(x.attempted) > 0:
		p.Reason = assigner.RetriedElsewhere
	case !x.hasHome():
		p.Reason = assigner.NoKey
	case u == x.homePlacement.Upstream:
		return x.homePlacement
	default:
		p.Reason = assigner.HomePassedOver
		p.Former = x.d.Homes.IsFormerHome(x.key, u)
	}
	return p
}
