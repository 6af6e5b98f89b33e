package delayer

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxInFlightBytes is the bandwidth-delay product per direction, as of a link
	// with 350 ms and 1.5 MB/s, or 35 ms and 15 MB/s.
	maxInFlightBytes = 1 << 19

	chunkBytes = 32 << 10
)

type (
	// pipe carries data in one direction and delivers it after a delay.
	pipe struct {
		delay time.Duration

		lock     sync.Mutex
		changed  *sync.Cond
		chunks   []chunk
		buffered int
		err      error
		deadline time.Time
		timer    *time.Timer
	}

	chunk struct {
		bytes []byte
		due   time.Time
	}

	// conn is a connection with a pipe in each direction.
	conn struct {
		net.Conn
		in  *pipe
		out *pipe
	}
)

// Wrap returns c with a one-way delay, or c itself if delay is not positive.
func Wrap(c net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return c
	}
	d := &conn{Conn: c, in: newPipe(delay), out: newPipe(delay)}
	go d.runIn()
	go d.runOut()
	return d
}

func newPipe(delay time.Duration) *pipe {
	l := &pipe{delay: delay}
	l.changed = sync.NewCond(&l.lock)
	return l
}

// enqueue adds data to be delivered after the delay. It blocks while the pipe is full.
func (l *pipe) enqueue(b []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	for l.buffered >= maxInFlightBytes && l.err == nil {
		l.changed.Wait()
	}
	if l.err != nil {
		return l.err
	}
	l.chunks = append(l.chunks, chunk{append([]byte(nil), b...), time.Now().Add(l.delay)})
	l.buffered += len(b)
	l.changed.Broadcast()
	return nil
}

// closeWith makes reads return err once the data in flight has been read.
func (l *pipe) closeWith(err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.err == nil {
		l.err = err
	}
	l.changed.Broadcast()
}

// dequeue reads data whose delay has passed and blocks until there is some.
func (l *pipe) dequeue(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for {
		if !l.deadline.IsZero() && !time.Now().Before(l.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(l.chunks) == 0 && l.err != nil {
			return 0, l.err
		}
		if len(l.chunks) > 0 {
			wait := time.Until(l.chunks[0].due)
			if wait <= 0 {
				return l.readFirst(b), nil
			}
			l.wakeAfter(wait)
		}
		l.changed.Wait()
	}
}

func (l *pipe) readFirst(b []byte) int {
	p := &l.chunks[0]
	n := copy(b, p.bytes)
	p.bytes = p.bytes[n:]
	l.buffered -= n
	if len(p.bytes) == 0 {
		l.chunks = l.chunks[1:]
	}
	l.changed.Broadcast()
	return n
}

func (l *pipe) wakeAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.changed.Broadcast()
	})
}

func (l *pipe) setDeadline(t time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.deadline = t
	if l.timer != nil {
		l.timer.Stop()
	}
	if !t.IsZero() {
		l.timer = time.AfterFunc(time.Until(t), func() {
			l.lock.Lock()
			defer l.lock.Unlock()
			l.changed.Broadcast()
		})
	}
	l.changed.Broadcast()
}

func (c *conn) runIn() {
	b := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && c.in.enqueue(b[:n]) != nil {
			return
		}
		if err != nil {
			c.in.closeWith(err)
			return
		}
	}
}

func (c *conn) runOut() {
	b := make([]byte, chunkBytes)
	for {
		n, err := c.out.dequeue(b)
		if n > 0 {
			if _, err := c.Conn.Write(b[:n]); err != nil {
				c.out.closeWith(err)
				return
			}
		}
		if err != nil {
			c.Conn.Close()
			return
		}
	}
}

// Read returns data that has arrived.
func (c *conn) Read(b []byte) (int, error) { return c.in.dequeue(b) }

// Write queues b for delivery after the delay.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.out.enqueue(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close closes the connection once the data in flight has been delivered.
func (c *conn) Close() error {
	c.in.closeWith(net.ErrClosed)
	c.out.closeWith(io.EOF)
	return nil
}

// SetDeadline sets the read deadline. Writes block only while the pipe is full.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing: writes block only while the pipe is full.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
