package tracker

import (
	"context"
	"net"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// timedDial returns a dial function that keeps the shortest time that a dial took, which is about
// one round trip to the upstream.
func (u *Upstream) timedDial(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		began := u.clock.Now()
		c, err := dial(ctx, address)
		if err == nil {
			u.recordRoundTrip(u.clock.Now() - began)
		}
		return c, err
	}
}

func (u *Upstream) recordRoundTrip(took timekeeper.Millis) {
	for {
		last := u.roundTrip.Load()
		if last > 0 && last <= int64(took) || u.roundTrip.CompareAndSwap(last, max(int64(took), 1)) {
			return
		}
	}
}
