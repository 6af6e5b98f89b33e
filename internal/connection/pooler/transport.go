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

	// maxHeadBytes bounds the head of a response, with interim responses.
	maxHeadBytes = 64 << 10

	// checkTimeout bounds the dial that checks whether an upstream terminated. It is
	// short since owners are near their upstreams.
	checkTimeout = 100 * timekeeper.Millis(1)

	// spareConns is how many connections for requests an upstream may have beyond
	// its slots. With one, a dial that hangs (a lost SYN is retransmitted after 1 s)
	// blocks no slot once its request got another connection. With none, a slot is
	// unusable until the dial ends (TestHungDialHoldsNoSlot).
	spareConns = 1

	// probeConns is how many connections for probes are kept. An upstream has at
	// most one probe in flight.
	probeConns = 1
)

type (
	// dialer opens a connection to the address of an upstream.
	dialer func(ctx context.Context, address string) (net.Conn, error)

	// dialCancelKey is the key of a context value that is itself a context, which is
	// cancelled when the request is abandoned. The transport passes only the values
	// of a request's context to the dial, not its cancellation.
	dialCancelKey struct{}
)

// dialTCP is the default dialer of an Owner.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", address)
}

// withDialCancel returns a context for a request and a function that cancels its dial.
func withDialCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	abandoned, abandon := context.WithCancel(context.Background())
	return context.WithValue(ctx, dialCancelKey{}, abandoned), abandon
}

// dialCancellable is a DialContext that cancels the dial of an abandoned request.
// Otherwise the dial would count against the connections of its upstream while it
// hangs, for up to dialTimeout (TestCancelledDialHoldsNoSlot). The dial of a request that
// got another connection continues, since the upstream may have accepted it already.
func (d dialer) dialCancellable(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if abandoned, ok := ctx.Value(dialCancelKey{}).(context.Context); ok {
		defer context.AfterFunc(abandoned, cancel)()
	}
	return d(ctx, address)
}

// newTransport returns a transport that keeps up to maxIdle idle connections.
func newTransport(maxIdle int, dial dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dial.dialCancellable,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout.Duration(),
		// Bytes that are no response may come without end.
		MaxResponseHeaderBytes: maxHeadBytes,
		// Responses are passed on unchanged.
		DisableCompression: true,
	}
}

// newRequestTransport returns the transport for the requests to an upstream. Its limit
// on connections includes pending dials, even those whose request got another connection
// first. Without the limit, such dials can open more than slots+spareConns connections
// (TestSlotsAreExact).
func newRequestTransport(slots int, dial dialer) *http.Transport {
	t := newTransport(slots+spareConns, dial.dialRefusable)
	t.MaxConnsPerHost = slots + spareConns
	return t
}
