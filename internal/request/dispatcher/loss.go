package dispatcher

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// States of an upstream that closed a connection during a request, as found by dialling it
// again.
const (
	// Terminated means that nothing listens at the upstream's address any more.
	Terminated UpstreamState = "ended"
	// Alive means that the upstream accepts connections.
	Alive UpstreamState = "alive"
	// Unreachable means that the upstream did not respond; it may be cut off.
	Unreachable UpstreamState = "unreachable"
	// Leaving means that the upstream was known to terminate soon.
	Leaving UpstreamState = "leaving"
)

// probeTimeout bounds the dial that determines whether an upstream has terminated: one and a
// half round trips between distant regions.
const probeTimeout = 110 * timekeeper.Millis(1)

type (
	// UpstreamState is the state of an upstream that closed a connection during a request.
	UpstreamState string

	// Loss describes a connection that was closed during a request before its response was
	// complete.
	Loss struct {
		ID            string
		Service       resolver.ServiceName
		Upstream      cataloger.Upstream
		UpstreamState UpstreamState
		// Suspect is what is known of the request, including this loss.
		Suspect quarantiner.Suspect

		// observation is what was known of the request when it was sent.
		observation quarantiner.Observation
		// relayed means that the connection was another member's.
		relayed bool
	}
)

// checkLoss dials u to find out whether it has terminated after the request failed with err.
// The lost connection alone does not prove it: running upstreams also reset connections, close
// idle ones and lose responses. With wait, checkLoss returns after the result is known;
// otherwise it dials in the background.
func (x *exchange) checkLoss(u *cataloger.Upstream, t *tracker.Upstream, err error, wait bool) {
	if x.r.Context().Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return // the caller left or the deadline passed
	}
	l := &Loss{
		ID: x.r.Header.Get(x.d.Fields.RequestID), Service: x.service, Upstream: *u,
		Suspect: x.currentSuspect(),
	}
	l.observation, l.relayed = x.observation, x.helper != nil
	x.decision.Suspect = l.Suspect
	if !wait {
		go x.d.probeAndReportLoss(l, t)
		return
	}
	x.d.probeAndReportLoss(l, t)
	x.decision.Suspect = l.Suspect
}

func (d *Dispatcher) probeAndReportLoss(l *Loss, t *tracker.Upstream) {
	l.UpstreamState = d.probeUpstream(&l.Upstream, t, l.relayed)
	if l.UpstreamState == Terminated && d.Quarantine != nil {
		l.Suspect = d.Quarantine.RecordCrash(l.observation)
	}
	d.Meter.Count("upstream_losses", measurer.Labels{Service: string(l.Service), Kind: string(l.UpstreamState)})
	if d.OnLoss != nil {
		d.OnLoss(l)
	}
}

// probeUpstream returns the state of u. Only a refused connection proves that it has terminated.
// relayed means that another member lost the connection, so that one connects to u.
func (d *Dispatcher) probeUpstream(u *cataloger.Upstream, t *tracker.Upstream, relayed bool) UpstreamState {
	if d.Catalog().Usable(u.Incarnation()) == nil {
		return Leaving
	}
	if relayed {
		if state := d.probeElsewhere(u, probeTimeout); state != "" {
			return state
		}
		return Unreachable
	}
	state := d.dialState(t, probeTimeout)
	if state == Terminated {
		return d.confirmTerminated(u, probeTimeout)
	}
	return state
}

// dialState dials an upstream from here and returns its state.
func (d *Dispatcher) dialState(t *tracker.Upstream, timeout timekeeper.Millis) UpstreamState {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	err := t.Pool.Check(ctx)
	switch {
	case err == nil:
		return Alive
	case !errors.Is(err, syscall.ECONNREFUSED):
		return Unreachable
	case d.Reach != nil && !d.Reach.Settle(ctx):
		// Others refuse as well: this VM may be cut off.
		return Unreachable
	}
	return Terminated
}
