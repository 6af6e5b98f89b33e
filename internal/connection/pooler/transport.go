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
)

// dialer opens a connection to the address of an upstream.
type dialer func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the dialer of an owner that has none of its own.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", address)
}

func newTransport(slots int, dial dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
		MaxIdleConnsPerHost: slots,
		IdleConnTimeout:     idleTimeout.Duration(),
		// The answer passes through as it is.
		DisableCompression: true,
	}
}
