package pooler

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/gullvale/gullvale/internal/connection/detector"
)

// refusableConn is a connection to an upstream that may respond and close before it has read a
// whole request. The transport drops that response if a write fails, so writes that the upstream
// refuses in the middle of a request count as done. Reads then return the response, or the error.
type refusableConn struct {
	*detector.Conn
	// written reports whether a part of the current request was written.
	written atomic.Bool
	// sent is set once a part of the current request may have been written, to this
	// connection or an earlier one.
	sent atomic.Pointer[atomic.Bool]
}

// dialRefusable opens a connection that tolerates refused writes.
func (d dialer) dialRefusable(ctx context.Context, address string) (net.Conn, error) {
	c, err := d(ctx, address)
	if err != nil {
		return nil, err
	}
	return &refusableConn{Conn: detector.New(c)}, nil
}

// beginRequest is called with each connection that was chosen for the request.
func (a *attempt) beginRequest(i httptrace.GotConnInfo) {
	a.connected.Store(true)
	c, ok := i.Conn.(*refusableConn)
	if !ok {
		a.sent.Store(true)
		return
	}
	c.written.Store(false)
	c.sent.Store(&a.sent)
}

// Write implements net.Conn. If nothing of the request was written, it returns the error, since the
// transport then knows that the request did not run.
func (c *refusableConn) Write(b []byte) (int, error) {
	// The request may be abandoned during the write.
	sent := c.sent.Load()
	before := sent.Swap(true)
	n, err := c.Conn.Write(b)
	switch {
	case n > 0:
		c.written.Store(true)
	case !before:
		sent.Store(false)
	}
	if c.written.Load() && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) {
		return len(b), nil
	}
	return n, err
}
