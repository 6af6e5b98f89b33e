package fronter

import (
	"net"
	"syscall"
	"time"
)

const (
	// idlePlaceholder is the idle time that the HTTP server is told. The
	// configuration sets the real one and may change it while connections are
	// open, which the server has no way to follow; limitConn puts it in place.
	idlePlaceholder = 2 * time.Hour
	placeholderFrom = time.Hour

	// unackedLimit is how long sent bytes may stay unacknowledged before the
	// other end counts as gone: two retransmissions fit in between distant
	// regions, and half of a request's time is left for another upstream.
	unackedLimit = 700 * time.Millisecond

	// tcpUserTimeout is the number of the socket option of that name, which
	// package syscall lacks.
	tcpUserTimeout = 0x12
)

type (
	// limitListener wraps connections of callers.
	limitListener struct {
		net.Listener
		fronter *Fronter
	}

	// limitConn applies the limits of the configuration in force.
	limitConn struct {
		net.Conn
		fronter *Fronter
	}
)

// Accept returns the next connection.
func (l limitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitConn{Conn: c, fronter: l.fronter}, nil
}

// SetReadDeadline replaces the placeholder by the configured idle time.
func (c *limitConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) > placeholderFrom {
		if config := c.fronter.Config(); config != nil && config.Limits.IdleTimeout > 0 {
			t = time.Now().Add(config.Limits.IdleTimeout.Duration())
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets the server end its side first.
func (c *limitConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// userTimeout lets the kernel give up a connection whose other end is silent.
func userTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
