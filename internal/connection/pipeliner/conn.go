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
	// readBuffer and writeBuffer are those of the standard library's server: heads and
	// most answers fit. readBuffer is also how much is read ahead of a request that
	// waits.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10

	// lingerFor is how long a closed connection is read on, so that bytes which the
	// caller sent meanwhile do not reset it before the last answer has arrived: two
	// round trips between distant regions, and a second packet.
	lingerFor = 500 * time.Millisecond
)

// What the reader of a connection waits for.
const (
	// idle is the first byte of a head.
	idle phase = iota
	// head is the rest of it.
	head
	// waiting is the turn of a request that was read.
	waiting
	// body is the end of a request's body, which its handler reads.
	body
	// ended is that no request is read any more.
	ended
)

var (
	// past is a deadline that ends a read at once.
	past = time.Unix(1, 0)

	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

type (
	phase int

	// conn is one connection of a caller. A goroutine of its own reads requests; the
	// answer that is the first of pending owns the writer.
	conn struct {
		net.Conn
		server *Server
		remote string
		reader *bufio.Reader
		writer *bufio.Writer
		ctx    context.Context
		cancel context.CancelFunc
		// headRest is how many bytes of a head may still be read, if bounded.
		headRest int64
		bounded  bool
		// emptyLines is how many characters of empty lines may come before a head.
		emptyLines int
		// readAt is when bytes came last.
		readAt timekeeper.Millis

		lock sync.Mutex
		// changed is told of each change of what follows.
		changed *sync.Cond
		phase   phase
		// pending are the requests that were begun and are not answered, in order.
		pending []*answer
		// next is the request that waits for its turn.
		next *answer
		// closing tells that no request is begun any more.
		closing bool
		// broken tells that nothing may be written any more.
		broken bool
		// unread tells that a body was not read to its end.
		unread bool
		// idleSince is when the last answer was written.
		idleSince timekeeper.Millis
		// unlimited tells that no deadline is set.
		unlimited bool
	}
)

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{Conn: n, server: s, remote: n.RemoteAddr().String(), unlimited: true, idleSince: s.Clock.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.lock)
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(source{c})
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(n)
	return c
}

// run reads requests and begins each when its turn has come.
func (c *conn) run() {
	defer c.end()
	for {
		r, refusal, ok := c.read()
		if !ok {
			return
		}
		a := newAnswer(c, r, refusal)
		if !c.await(a) {
			return
		}
		go a.run()
		if a.body != nil {
			<-a.body.ended
		}
		if a.last {
			c.drain()
			return
		}
	}
}

// end waits for the answers that are under way and closes the connection.
func (c *conn) end() {
	c.lock.Lock()
	c.phase = ended
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
	c.server.forget(c)
	c.reuse()
}

// reuse gives the buffers back.
func (c *conn) reuse() {
	c.writer.Reset(nil)
	writers.Put(c.writer)
	if c.unread {
		// A handler may have left a goroutine behind that still reads the body.
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
}

// linger reads past what the caller sent behind the last request that was begun. To
// close a connection with unread bytes resets it, and the caller may lose its answer.
func (c *conn) linger() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// await waits until a may begin, and begins it. It reports false if it never may.
func (c *conn) await(a *answer) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase, c.next = waiting, a
	over := func() bool { return c.closing || c.broken }
	if !c.watch(func() bool { return over() || c.mayBegin(a) }) || over() {
		return false
	}
	c.begin(a)
	return true
}

// drain waits until all that was begun is answered.
func (c *conn) drain() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = waiting
	c.watch(func() bool { return len(c.pending) == 0 || c.broken })
}

// watch reads ahead until a condition holds, so that a caller that leaves meanwhile is
// seen, and reports false if it did. The caller holds the lock.
func (c *conn) watch(done func() bool) bool {
	for !done() {
		c.setLimit(0)
		c.lock.Unlock()
		err := c.fill()
		c.lock.Lock()
		switch {
		case err == errFull:
			// No more can be read ahead.
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

// mayBegin tells whether a request may begin beside those that are under way. The
// caller holds the lock.
func (c *conn) mayBegin(a *answer) bool {
	n := len(c.pending)
	switch {
	case n == 0:
		return true
	case n >= maxAhead || c.server.ahead.Load() >= maxAheadInAll:
		return false
	}
	return a.overlaps() && c.pending[0].overlaps()
}

// begin notes that a request is handled. The caller holds the lock.
func (c *conn) begin(a *answer) {
	if len(c.pending) > 0 {
		a.ahead = true
		c.server.ahead.Add(1)
	}
	c.next = nil
	c.phase = idle
	if a.body != nil {
		c.phase = body
	}
	c.pending = append(c.pending, a)
	c.setLimit(0)
}

// pop notes that the first answer is written. The caller holds the lock.
func (c *conn) pop() {
	a := c.pending[0]
	copy(c.pending, c.pending[1:])
	c.pending[len(c.pending)-1] = nil
	c.pending = c.pending[:len(c.pending)-1]
	if a.ahead {
		c.server.ahead.Add(-1)
	}
}

// settle lets the reader and the next answer know that one was written. The caller
// holds the lock.
func (c *conn) settle() {
	c.changed.Broadcast()
	if len(c.pending) == 0 {
		c.idleSince = c.server.Clock.Now()
	}
	switch {
	case c.broken, c.closing && len(c.pending) == 0:
		c.interrupt()
	case c.phase == idle && len(c.pending) == 0:
		c.setLimit(c.server.idleTimeout())
	case c.phase == waiting && (c.next == nil && len(c.pending) == 0 || c.next != nil && c.mayBegin(c.next)):
		c.interrupt()
	}
}

// closeIfIdle closes the connection if nothing is under way on it.
func (c *conn) closeIfIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.pending) == 0 && c.phase == idle {
		c.closing = true
		c.interrupt()
	}
}

// interrupt ends the reader's wait. The caller holds the lock.
func (c *conn) interrupt() {
	c.unlimited = false
	_ = c.Conn.SetReadDeadline(past)
}

// setLimit sets how long the next read may take, 0 for no limit. The caller holds the
// lock.
func (c *conn) setLimit(m timekeeper.Millis) {
	switch {
	case m > 0:
		c.unlimited = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(m.Duration()))
	case !c.unlimited:
		c.unlimited = true
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// errFull is what fill returns when the buffer has no room.
var errFull = errors.New("read buffer is full")

// fill reads more bytes without taking any.
func (c *conn) fill() error {
	n := c.reader.Buffered()
	if n == c.reader.Size() {
		return errFull
	}
	_, err := c.reader.Peek(n + 1)
	return err
}

// fail ends the connection after something could not be written, or must not be.
func (c *conn) fail() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.broken = true
	c.cancel()
	c.changed.Broadcast()
	c.interrupt()
}

// source counts what is read from a connection.
type source struct {
	*conn
}

// Read reads from the connection, and no more of a head than is allowed.
func (s source) Read(b []byte) (int, error) {
	if s.bounded {
		if s.headRest <= 0 {
			return 0, io.EOF
		}
		b = b[:min(int64(len(b)), s.headRest)]
	}
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.readAt = s.server.Clock.Now()
		s.headRest -= int64(n)
	}
	return n, err
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
