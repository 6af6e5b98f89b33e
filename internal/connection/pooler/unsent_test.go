package pooler_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// resettableConn is a connection that the upstream resets before the next write.
type resettableConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c resettableConn) Write(p []byte) (int, error) {
	if c.reset.Load() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return c.Conn.Write(p)
}

// TestRequestOfWhichNothingWasWrittenDidNotRun guards against a request that is reported as unknown
// although its connection was reset before the first byte.
func TestRequestOfWhichNothingWasWrittenDidNotRun(t *testing.T) {
	is := is.New(t)
	u := &server.Server{Slots: 5}
	s := httptest.NewServer(u)
	defer s.Close()
	var reset atomic.Bool
	c := &clock{}
	o := &pooler.Owner{
		Clock: timekeeper.Clock{Monotonic: c.reading},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			n, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return resettableConn{n, &reset}, err
		},
	}
	ownUpstreams(o, c, settings(1, 1, s.Listener.Addr().String()))
	is.Equal(o.Run(context.Background(), call("a", []byte("x"), io.Discard)).Outcome, exchanger.Answered)
	reset.Store(true)
	r := o.Run(context.Background(), call("b", []byte("x"), io.Discard))
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(u.Counts().Journal["b"], 0)
}
