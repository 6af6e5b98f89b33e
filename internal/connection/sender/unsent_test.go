package sender_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/sender"
)

// resettableConn is a connection that the upstream resets before the next write.
type resettableConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c resettableConn) Read(p []byte) (int, error) {
	if c.reset.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return c.Conn.Read(p)
}

func (c resettableConn) Write(p []byte) (int, error) {
	if c.reset.Load() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return c.Conn.Write(p)
}

// startResettable starts an upstream that answers each request by its number, and to which only
// the first connections reset as long as reset returns true for them.
func startResettable(t *testing.T, reset *atomic.Bool, connections uint64) *testUpstream {
	s := startTestUpstream(t, func(c conn, next func() string) {
		for i := 1; next() != ""; i++ {
			_, _ = io.WriteString(c, response("1", fmt.Sprint(i)))
		}
	})
	dial := s.pool.Dial
	s.pool.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		c, err := dial(ctx, a)
		if s.pool.Dials() > connections {
			return c, err
		}
		return resettableConn{c, reset}, err
	}
	return s
}

// TestRequestIsSentAgainIfNothingWasWritten guards against a request that is reported as lost
// although its kept connection was reset before the first byte.
func TestRequestIsSentAgainIfNothingWasWritten(t *testing.T) {
	is := is.New(t)
	var reset atomic.Bool
	s := startResettable(t, &reset, 1)
	_, err := s.get(request("1"))
	is.NoErr(err)
	reset.Store(true)
	b, err := s.get(request("1"))
	is.NoErr(err)
	is.Equal(b, "1")
	is.Equal(s.pool.Dials(), uint64(2))
}

// TestRequestOfWhichNothingWasWrittenWasNotSent checks that a reset of a new connection is not
// answered by further ones.
func TestRequestOfWhichNothingWasWrittenWasNotSent(t *testing.T) {
	is := is.New(t)
	var reset atomic.Bool
	reset.Store(true)
	s := startResettable(t, &reset, 10)
	_, err := s.get(request("1"))
	is.True(errors.Is(err, sender.ErrNotSent))
	is.Equal(s.pool.Dials(), uint64(1))
	is.Equal(len(s.heads), 0)
}

// TestWithdrawnRequestIsNotSentAgain guards against a request that is sent over another connection
// although it was withdrawn meanwhile.
func TestWithdrawnRequestIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	var reset atomic.Bool
	s := startResettable(t, &reset, 1)
	_, err := s.get(request("1"))
	is.NoErr(err)
	reset.Store(true)
	q := request("1")
	q.Check = func() bool { return s.pool.Dials() == 1 }
	_, err = s.get(q)
	is.True(errors.Is(err, sender.ErrWithdrawn))
	is.Equal(len(s.heads), 1)
}
