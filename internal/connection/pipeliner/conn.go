package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// readBuffer and writeBuffer have the sizes of the server of the standard library:
	// heads and most responses fit. readBuffer is also how much is read ahead while a
	// request waits.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10

	// lingerTimeout is how long a connection is read after its write side was closed.
	// Otherwise bytes that the caller sent meanwhile reset it before the last response
	// has arrived. It allows two round trips between distant regions and a second
	// packet.
	lingerTimeout = 500 * time.Millisecond
)

// The phases of a connection: what its reader waits for.
const (
	// phaseIdle waits for the first byte of a head.
	phaseIdle phase = iota
	// phaseHead waits for the rest of a head.
	phaseHead
	// phaseWaiting waits for the start of a request that was read, or for the last response.
	phaseWaiting
	// phaseBody waits for the end of the body of a request, which its handler reads.
	phaseBody
	// phaseEnded waits for nothing, since no more requests are read.
	phaseEnded
)

var (
	// expiredDeadline is a deadline in the past, which makes a read return at once.
	expiredDeadline = time.Unix(1, 0)

	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

type (
	phase int

	// conn is a connection of a caller. A goroutine of its own reads requests. Only the
	// first response of pending may use the writer.
	conn struct {
		net.Conn
		server *Server
		remote string
		reader *bufio.Reader
		writer *bufio.Writer
		ctx    context.Context
		cancel context.CancelFunc
		// headRemaining is how many more bytes of a head may be read, if headBounded.
		headRemaining int64
		headBounded   bool
		// headCopy is what was read of a head that does not fit the read buffer, else nil.
		headCopy []byte
		// emptyLines is how many bytes of line ends may precede the next head.
		emptyLines int
		// lastRead is when bytes were last received.
		lastRead timekeeper.Millis

		lock sync.Mutex
		// changed is signalled when responses are written or the connection is broken.
		changed *sync.Cond
		phase   phase
		// pending holds the responses of started requests that are not yet written, in
		// the order of the requests.
		pending []*response
		// next is the response of the request that waits to be started.
		next *response
		// closing reports whether no request may be started any more.
		closing bool
		// broken reports whether nothing may be written any more.
		broken bool
		// idleSince is when the last response was written.
		idleSince timekeeper.Millis
		// noDeadline reports whether no read deadline is set.
		noDeadline bool
	}
)

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{Conn: n, server: s, remote: n.RemoteAddr().String(), noDeadline: true, idleSince: s.Clock.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.lock)
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(connReader{c})
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(n)
	return c
}

// run reads requests and starts each as soon as it may.
func (c *conn) run() {
	defer c.shutdown()
	for {
		r, refusal, ok := c.readRequest()
		if !ok {
			return
		}
		p := newResponse(c, r, refusal)
		if !c.awaitStart(p) {
			return
		}
		go p.run()
		if p.body != nil {
			<-p.body.ended
		}
		if p.last {
			c.awaitResponses()
			return
		}
	}
}

// shutdown waits for pending responses and closes the connection.
func (c *conn) shutdown() {
	c.lock.Lock()
	c.phase = phaseEnded
	for len(c.pending) > 0 {
		c.changed.Wait()
	}
	linger := c.closing && !c.broken
	c.lock.Unlock()
	c.cancel()
	if linger {
		c.linger()
	}
	_ = c.Conn.Close()
	c.server.removeConn(c)
	c.releaseBuffers()
}

// releaseBuffers returns the buffers to their pools.
func (c *conn) releaseBuffers() {
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.reader.Reset(nil)
	readers.Put(c.reader)
}

// linger discards what the caller sent after the last request that was started. Closing
// a connection with unread bytes resets it, and the caller may lose its response.
func (c *conn) linger() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// awaitStart waits until the request of p may start, and records its start. It reports
// false if the request must not start any more.
func (c *conn) awaitStart(p *response) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase, c.next = phaseWaiting, p
	over := func() bool { return c.closing || c.broken }
	if !c.readAheadUntil(func() bool { return over() || c.mayStart(p) }) || over() {
		return false
	}
	c.start(p)
	return true
}

// awaitResponses waits until all pending responses are written.
func (c *conn) awaitResponses() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseWaiting
	c.readAheadUntil(func() bool { return len(c.pending) == 0 || c.broken })
}

// readAheadUntil reads ahead until done returns true, so that it notices if the caller
// disconnects, and reports false in that case. The caller holds the lock.
func (c *conn) readAheadUntil(done func() bool) bool {
	for !done() {
		c.setReadTimeout(0)
		c.lock.Unlock()
		err := c.fill()
		c.lock.Lock()
		switch {
		case err == errBufferFull:
			// The read buffer is full: only wait.
			for !done() {
				c.changed.Wait()
			}
		case err != nil && !isTimeout(err):
			c.cancel()
			return false
		}
	}
	return true
}

// mayStart reports whether a request may start while the pending ones are handled. The
// caller holds the lock.
func (c *conn) mayStart(p *response) bool {
	n := len(c.pending)
	switch {
	case n == 0:
		return true
	case n >= maxPipelined || c.server.pipelined.Load() >= maxPipelinedTotal:
		return false
	}
	return p.mayOverlap() && c.pending[0].mayOverlap()
}

// start records the start of a request. The caller holds the lock.
func (c *conn) start(p *response) {
	if len(c.pending) > 0 {
		p.pipelined = true
		c.server.pipelined.Add(1)
	}
	c.next = nil
	c.phase = phaseIdle
	if p.body != nil {
		c.phase = phaseBody
	}
	c.pending = append(c.pending, p)
	c.setReadTimeout(0)
}

// pop removes the first of pending, which is written. The caller holds the lock.
func (c *conn) pop() {
	p := c.pending[0]
	copy(c.pending, c.pending[1:])
	c.pending[len(c.pending)-1] = nil
	c.pending = c.pending[:len(c.pending)-1]
	if p.pipelined {
		c.server.pipelined.Add(-1)
	}
}

// advance wakes the reader and the next response after one was written. The caller
// holds the lock.
func (c *conn) advance() {
	c.changed.Broadcast()
	if len(c.pending) == 0 {
		c.idleSince = c.server.Clock.Now()
	}
	switch {
	case c.broken, c.closing && len(c.pending) == 0:
		c.interrupt()
	case c.phase == phaseIdle && len(c.pending) == 0:
		c.setReadTimeout(c.server.idleTimeout())
	case c.phase == phaseWaiting && (c.next == nil && len(c.pending) == 0 || c.next != nil && c.mayStart(c.next)):
		c.interrupt()
	}
}

// closeIfIdle closes the connection if it has no request.
func (c *conn) closeIfIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.pending) == 0 && c.phase == phaseIdle {
		c.closing = true
		c.interrupt()
	}
}

// interrupt makes the pending read return. The caller holds the lock.
func (c *conn) interrupt() {
	c.noDeadline = false
	_ = c.Conn.SetReadDeadline(expiredDeadline)
}

// setReadTimeout sets how long the next read may take. 0 means no limit. The caller holds
// the lock.
func (c *conn) setReadTimeout(m timekeeper.Millis) {
	switch {
	case m > 0:
		c.noDeadline = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(m.Duration()))
	case !c.noDeadline:
		c.noDeadline = true
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// errBufferFull is returned by fill if the read buffer is full.
var errBufferFull = errors.New("read buffer is full")

// fill reads at least one more byte into the read buffer.
func (c *conn) fill() error {
	n := c.reader.Buffered()
	if n == c.reader.Size() {
		return errBufferFull
	}
	_, err := c.reader.Peek(n + 1)
	return err
}

// fail marks the connection as broken after a failed write, or when nothing more may be
// written.
func (c *conn) fail() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.broken = true
	c.cancel()
	c.changed.Broadcast()
	c.interrupt()
}

// connReader reads from a connection, bounds the head and records the time of each read.
type connReader struct {
	*conn
}

// Read reads from the connection. It returns io.EOF if the head exceeds its bound.
func (s connReader) Read(b []byte) (int, error) {
	if s.headBounded {
		if s.headRemaining <= 0 {
			return 0, io.EOF
		}
		b = b[:min(int64(len(b)), s.headRemaining)]
	}
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.lastRead = s.server.Clock.Now()
		s.headRemaining -= int64(n)
		if s.headCopy != nil {
			s.headCopy = append(s.headCopy, b[:n]...)
		}
	}
	return n, err
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
