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
	p := &pipe{delay: delay}
	p.changed = sync.NewCond(&p.lock)
	return p
}

// enqueue adds data to be delivered after the delay. It blocks while the pipe is full.
func (p *pipe) enqueue(b []byte) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	for p.buffered >= maxInFlightBytes && p.err == nil {
		p.changed.Wait()
	}
	if p.err != nil {
		return p.err
	}
	p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(p.delay)})
	p.buffered += len(b)
	p.changed.Broadcast()
	return nil
}

// closeWith makes reads return err once the data in flight has been read.
func (p *pipe) closeWith(err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// dequeue reads data whose delay has passed and blocks until there is some.
func (p *pipe) dequeue(b []byte) (int, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for {
		if !p.deadline.IsZero() && !time.Now().Before(p.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(p.chunks) == 0 && p.err != nil {
			return 0, p.err
		}
		if len(p.chunks) > 0 {
			wait := time.Until(p.chunks[0].due)
			if wait <= 0 {
				return p.readFirst(b), nil
			}
			p.wakeAfter(wait)
		}
		p.changed.Wait()
	}
}

func (p *pipe) readFirst(b []byte) int {
	first := &p.chunks[0]
	n := copy(b, first.bytes)
	first.bytes = first.bytes[n:]
	p.buffered -= n
	if len(first.bytes) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.changed.Broadcast()
	return n
}

// wakeAfter wakes the waiting readers after d.
func (p *pipe) wakeAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.changed.Broadcast()
	})
}

func (p *pipe) setDeadline(t time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.deadline = t
	if p.timer != nil {
		p.timer.Stop()
	}
	if !t.IsZero() {
		p.timer = time.AfterFunc(time.Until(t), func() {
			p.lock.Lock()
			defer p.lock.Unlock()
			p.changed.Broadcast()
		})
	}
	p.changed.Broadcast()
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
