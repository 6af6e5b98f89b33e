package pooler

import (
	"context"
	"net"
	"net/http"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	idleTimeout = 60 * timekeeper.Second
	dialTimeout = 2 * timekeeper.Second

	// checkTime bounds the opening of a connection that tells whether an upstream ended: owners
	// are near their upstreams.
	checkTime = 100 * timekeeper.Millis(1)

	// spareConns is how many connections for requests an upstream may have beyond
	// its slots. With one, a dial that hangs (a lost SYN is sent again after 1 s)
	// holds no slot up once its request was given another connection
	// (TestHungDialHoldsNoSlot; with none, a slot is useless until the dial ends).
	spareConns = 1

	// probeConns is how many connections for probes are kept: there is one probe
	// of an upstream at a time.
	probeConns = 1
)

type (
	// dialer opens a connection to the address of an upstream.
	dialer func(ctx context.Context, address string) (net.Conn, error)

	// givenUpKey is the key of a request's value that is a context which ends when
	// the request is given up. Dials do not see the end of the request's own: the
	// transport takes its values only.
	givenUpKey struct{}
)

// dialTCP is the dialer of an owner that has none of its own.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", address)
}

// withGiveUp returns a context for a request, and what gives the request's dial up.
func withGiveUp(ctx context.Context) (context.Context, context.CancelFunc) {
	givenUp, giveUp := context.WithCancel(context.Background())
	return context.WithValue(ctx, givenUpKey{}, givenUp), giveUp
}

// dialUnlessGivenUp ends the dial of a request that is given up. It would count
// against the connections of its upstream for as long as it hangs, up to dialTimeout
// (TestCancelledDialHoldsNoSlot). The dial of a request that was answered over
// another connection goes on: the upstream may have accepted it already.
func (d dialer) dialUnlessGivenUp(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if givenUp, ok := ctx.Value(givenUpKey{}).(context.Context); ok {
		defer context.AfterFunc(givenUp, cancel)()
	}
	return d(ctx, address)
}

// newTransport returns a transport that keeps up to kept connections.
func newTransport(kept int, dial dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dial.dialUnlessGivenUp,
		MaxIdleConnsPerHost: kept,
		IdleConnTimeout:     idleTimeout.Duration(),
		// The answer passes through as it is.
		DisableCompression: true,
	}
}

// newRequestTransport returns the transport for the requests of an upstream. Dials
// under way count as connections, also those whose request was given another one
// first: without that, 11 of 300 runs of TestSlotsAreExact beside six busy processes
// opened more than 4 connections to an upstream of 3 slots, with it 0 of 300.
func newRequestTransport(slots int, dial dialer) *http.Transport {
	t := newTransport(slots+spareConns, dial)
	t.MaxConnsPerHost = slots + spareConns
	return t
}
