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

// What a new connection says of an upstream that closed one under a request.
const (
	// Ended is an upstream at whose address nothing listens any more.
	Ended Ending = "ended"
	// Alive is one that takes connections.
	Alive Ending = "alive"
	// Unreachable is one of which nothing was heard: it may be cut off.
	Unreachable Ending = "unreachable"
	// Leaving is one that was known to end soon.
	Leaving Ending = "leaving"
)

// checkTime bounds the opening of a connection that tells whether an upstream has ended: a
// round trip between distant regions and half of one more.
const checkTime = 110 * timekeeper.Millis(1)

type (
	// Ending is what became of an upstream that closed a connection under a request.
	Ending string

	// Loss is a connection that was closed under a request before its answer was whole.
	Loss struct {
		ID       string
		Service  resolver.ServiceName
		Upstream cataloger.Upstream
		Ending   Ending
		// Suspect is what is known of the request now.
		Suspect quarantiner.Suspect

		// sighting is what was known when it was sent.
		sighting quarantiner.Sighting
	}
)

// check tells, by a new connection, whether an upstream ended that closed one under the
// request, which failed with err. Upstreams also reset connections, close idle ones and lose
// answers. With wait, it is known when check returns.
func (x *exchange) check(u *cataloger.Upstream, t *tracker.Upstream, err error, wait bool) {
	if x.r.Context().Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return // this side ended the exchange
	}
	l := &Loss{
		ID: x.r.Header.Get(x.d.Fields.RequestID), Service: x.part, Upstream: *u,
		Suspect: x.suspect(),
	}
	l.sighting = x.sighting
	x.decision.Suspect = l.Suspect
	if !wait {
		go x.d.runCheck(l, t)
		return
	}
	x.d.runCheck(l, t)
	x.decision.Suspect = l.Suspect
}

func (d *Dispatcher) runCheck(l *Loss, t *tracker.Upstream) {
	l.Ending = d.ending(&l.Upstream, t)
	if l.Ending == Ended && d.Quarantine != nil {
		l.Suspect = d.Quarantine.Crashed(l.sighting)
	}
	d.Meter.Count("upstream_losses", measurer.Labels{Service: string(l.Service), Kind: string(l.Ending)})
	if d.Lost != nil {
		d.Lost(l)
	}
}

// ending opens a connection to u. Only a refusal proves that the upstream has ended.
func (d *Dispatcher) ending(u *cataloger.Upstream, t *tracker.Upstream) Ending {
	if d.Catalog().Usable(u.Incarnation()) == nil {
		return Leaving
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTime.Duration())
	defer cancel()
	err := t.Pool.Check(ctx)
	switch {
	case err == nil:
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	}
	return Unreachable
}
