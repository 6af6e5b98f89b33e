package dispatcher

import (
	"context"
	"errors"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// chooseNear returns the member through which the attempt reaches an upstream of another region, or
// nil if it is sent directly. With many VMs and upstreams most pairs of them have no open
// connection, and a dial costs a round trip between regions before the request is sent. A
// connection to a member there is shared by the requests to all of its upstreams.
//
// A body that is streamed is sent directly: it could not be sent again if the member refused it.
func (x *exchange) chooseNear(u *cataloger.Upstream) *relayer.Helper {
	switch {
	case !x.d.RelayFar || x.d.Relay == nil || x.skipNear || x.streamedBody != nil:
		return nil
	case u.Site.Region() == x.d.Region || x.isolated():
		return nil
	case x.d.Upstreams.StateOf(u).Pool.HasOpen(x.maxIdle(), &x.trail):
		return nil
	}
	return x.d.Relay.Near(u.Site)
}

// maxIdle returns how long a connection that carries the request may have been idle, 0 for any time.
func (x *exchange) maxIdle() timekeeper.Millis {
	if x.route.Kind.Retryable() {
		return 0
	}
	return maxIdleForOnce
}

// watchNear returns the context of a request that is handed over, and the observation of its helper,
// nil for none. An idempotent request is given up and sent directly once the member near its upstream
// is silent.
func (x *exchange) watchNear() (context.Context, *relayer.Watch) {
	if !x.helperNear || !x.retryable() {
		return x.r.Context(), nil
	}
	return x.d.Relay.Watch(x.r.Context(), x.helper)
}

// avoidNear records that a helper near the upstream was not reached or lost.
func (x *exchange) avoidNear(u *cataloger.Upstream, err error) {
	if !x.helperNear || errors.Is(err, sender.ErrWithdrawn) || x.r.Context().Err() != nil {
		return
	}
	x.skipNear = true
	x.d.Relay.AvoidNear(u.Site)
}
