package delayer

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// lineBytes is how much may be under way in one direction, as on a line
	// of 350 ms and 1.5 MB/s, or 35 ms and 15 MB/s.
	lineBytes = 1 << 19

	pieceBytes = 32 << 10
)

type (
	// line is one direction: bytes that become due.
	line struct {
		delay time.Duration

		lock   sync.Mutex
		wake   *sync.Cond
		pieces []piece
		held   int
		err    error
		until  time.Time
		timer  *time.Timer
	}

	piece struct {
		bytes []byte
		due   time.Time
	}

	// conn is a connection with a line in each direction.
	conn struct {
		net.Conn
		in  *line
		out *line
	}
)

// Wrap returns c with a one-way delay. Without one it returns c itself.
func Wrap(c net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return c
	}
	d := &conn{Conn: c, in: newLine(delay), out: newLine(delay)}
	go d.runIn()
	go d.runOut()
	return d
}

func newLine(delay time.Duration) *line {
	l := &line{delay: delay}
	l.wake = sync.NewCond(&l.lock)
	return l
}

// put adds bytes that arrive after the delay. It waits while the line is full.
func (l *line) put(b []byte) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	for l.held >= lineBytes && l.err == nil {
		l.wake.Wait()
	}
	if l.err != nil {
		return l.err
	}
	l.pieces = append(l.pieces, piece{append([]byte(nil), b...), time.Now().Add(l.delay)})
	l.held += len(b)
	l.wake.Broadcast()
	return nil
}

// end lets readers have what is under way and then err.
func (l *line) end(err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.err == nil {
		l.err = err
	}
	l.wake.Broadcast()
}

// take reads bytes that are due.
func (l *line) take(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for {
		if !l.until.IsZero() && !time.Now().Before(l.until) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(l.pieces) == 0 && l.err != nil {
			return 0, l.err
		}
		if len(l.pieces) > 0 {
			wait := time.Until(l.pieces[0].due)
			if wait <= 0 {
				return l.first(b), nil
			}
			l.wakeAfter(wait)
		}
		l.wake.Wait()
	}
}

func (l *line) first(b []byte) int {
	p := &l.pieces[0]
	n := copy(b, p.bytes)
	p.bytes = p.bytes[n:]
	l.held -= n
	if len(p.bytes) == 0 {
		l.pieces = l.pieces[1:]
	}
	l.wake.Broadcast()
	return n
}

func (l *line) wakeAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.wake.Broadcast()
	})
}

func (l *line) setDeadline(t time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.until = t
	if l.timer != nil {
		l.timer.Stop()
	}
	if !t.IsZero() {
		l.timer = time.AfterFunc(time.Until(t), func() {
			l.lock.Lock()
			defer l.lock.Unlock()
			l.wake.Broadcast()
		})
	}
	l.wake.Broadcast()
}

func (c *conn) runIn() {
	b := make([]byte, pieceBytes)
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && c.in.put(b[:n]) != nil {
			return
		}
		if err != nil {
			c.in.end(err)
			return
		}
	}
}

func (c *conn) runOut() {
	b := make([]byte, pieceBytes)
	for {
		n, err := c.out.take(b)
		if n > 0 {
			if _, err := c.Conn.Write(b[:n]); err != nil {
				c.out.end(err)
				return
			}
		}
		if err != nil {
			c.Conn.Close()
			return
		}
	}
}

// Read reads what has arrived.
func (c *conn) Read(b []byte) (int, error) { return c.in.take(b) }

// Write sends bytes on their way.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.out.put(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close ends the connection once what is under way has arrived.
func (c *conn) Close() error {
	c.in.end(net.ErrClosed)
	c.out.end(io.EOF)
	return nil
}

// SetDeadline bounds reads. Writes wait for room only.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing: writes wait for room only.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
