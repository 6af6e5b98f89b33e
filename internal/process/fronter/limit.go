package fronter

import (
	"syscall"
	"time"
)

const (
	// unackedLimit is how long sent bytes may stay unacknowledged before the
	// other end counts as gone: two retransmissions fit in between distant
	// regions, and half of a request's time is left for another upstream.
	unackedLimit = 700 * time.Millisecond

	// tcpUserTimeout is the number of the socket option of that name, which
	// package syscall lacks.
	tcpUserTimeout = 0x12
)

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
