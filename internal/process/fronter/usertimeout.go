package fronter

import (
	"syscall"
	"time"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. It allows two retransmissions between distant regions and
	// leaves half of a request's time for another upstream.
	unackedTimeout = 700 * time.Millisecond

	// memberTimeout is the same for connections between members: the user timeout decides when
	// keep-alive probes give up, and a request may wait long for its response.
	memberTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 0x12
)

// userTimeout returns a control function that sets TCP_USER_TIMEOUT, so that the kernel closes a
// connection whose peer stops acknowledging.
func userTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
