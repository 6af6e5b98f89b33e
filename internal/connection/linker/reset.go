package linker

import (
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// The header of a yamux frame is big-endian: the version and the type in a byte each, the
	// flags in two bytes, the stream and the length in four bytes each. Only frames of yamuxData
	// have a body, of that length.
	yamuxVersion      = 0
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxFin          = 4
	yamuxReset        = 8
)

type (
	// streamID identifies a stream of a session.
	streamID uint32

	// muxConn is the connection that yamux uses. yamux fails each read of a stream that was reset,
	// even if the stream holds an answer that arrived whole before. muxConn therefore turns the reset
	// of a call sent from here into the end of its stream, which is read after all that was received.
	muxConn struct {
		*linkConn
		// header holds the first bytes of a header that is not complete yet, held their number.
		header [yamuxHeaderBytes]byte
		held   int
		// body is the number of bytes before the next header.
		body int64

		lock sync.Mutex
		// calls are the calls sent from here whose result is outstanding.
		calls map[streamID]*callStream
	}

	// callStream is the stream of a call sent from here.
	callStream struct {
		*yamux.Stream
		// closed reports whether the remote end has closed the stream. It is used only by the
		// goroutine that reads from the connection.
		closed bool
		// reset reports whether the remote end has reset the stream.
		reset atomic.Bool
	}
)

// Read implements io.Reader. It returns each header as a whole and needs room for one in p.
func (c *muxConn) Read(p []byte) (int, error) {
	if len(p) < yamuxHeaderBytes {
		return 0, io.ErrShortBuffer
	}
	for {
		held := copy(p, c.header[:c.held])
		n, err := c.linkConn.Read(p[held:])
		whole := c.scan(p[:held+n])
		if whole > 0 || err != nil {
			return whole, err
		}
	}
}

// scan handles the headers in b, which continues what was scanned before. It holds back an
// incomplete header at the end and returns the number of bytes before it.
func (c *muxConn) scan(b []byte) int {
	i := 0
	for i < len(b) {
		if c.body > 0 {
			n := min(c.body, int64(len(b)-i))
			c.body -= n
			i += int(n)
			continue
		}
		if len(b)-i < yamuxHeaderBytes {
			break
		}
		c.handleHeader(b[i : i+yamuxHeaderBytes])
		i += yamuxHeaderBytes
	}
	c.held = copy(c.header[:], b[i:])
	return i
}

// handleHeader changes the flags of a frame that closes or resets the stream of a call. Frames of
// other versions and types are left to yamux.
func (c *muxConn) handleHeader(h []byte) {
	if h[0] != yamuxVersion || h[1] > yamuxWindowUpdate {
		return
	}
	if h[1] == yamuxData {
		c.body = int64(binary.BigEndian.Uint32(h[8:]))
	}
	flags := binary.BigEndian.Uint16(h[2:])
	if flags&(yamuxFin|yamuxReset) == 0 {
		return
	}
	if s := c.call(streamID(binary.BigEndian.Uint32(h[4:]))); s != nil {
		binary.BigEndian.PutUint16(h[2:], s.changeFlags(flags))
	}
}

// changeFlags returns the flags to pass on in place of those of a frame that closes or resets the
// stream. A reset closes the stream, if it is still open: yamux ends the session when a stream is
// closed twice.
func (s *callStream) changeFlags(flags uint16) uint16 {
	if s.reset.Load() {
		return flags &^ (yamuxFin | yamuxReset)
	}
	if flags&yamuxFin != 0 {
		s.closed = true
	}
	if flags&yamuxReset == 0 {
		return flags
	}
	s.reset.Store(true)
	// A write may wait for the window, which the remote end does not extend any more.
	_ = s.SetWriteDeadline(time.Now())
	if s.closed {
		return flags &^ yamuxReset
	}
	return flags&^yamuxReset | yamuxFin
}

// addCall begins to handle resets of a stream.
func (c *muxConn) addCall(s *callStream) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.calls == nil {
		c.calls = map[streamID]*callStream{}
	}
	c.calls[streamID(s.StreamID())] = s
}

func (c *muxConn) removeCall(s *callStream) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.calls, streamID(s.StreamID()))
}

// call returns the call of a stream, or nil if there is none.
func (c *muxConn) call(id streamID) *callStream {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.calls[id]
}
