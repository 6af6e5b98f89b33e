package linker

import (
	"net"

	"github.com/hashicorp/yamux"
)

// MuxConn exports muxConn for tests.
type MuxConn struct{ *muxConn }

// NewMuxConn returns the connection that yamux uses on c.
func NewMuxConn(c net.Conn) MuxConn {
	var m Manager
	return MuxConn{m.muxConn(c, 0)}
}

// AddCall adds the stream of a call.
func (c MuxConn) AddCall(s *yamux.Stream) { c.addCall(&callStream{Stream: s}) }

// OpenCalls returns the number of calls that the current session of a peer keeps track of.
func (p *Peer) OpenCalls() int {
	c := p.current().conn
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.calls)
}
