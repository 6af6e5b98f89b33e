package sender

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullvale/gullvale/internal/connection/detector"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10

	// idleMargin is subtracted from the keep-alive timeout that an upstream
	// announces, so that no request races with the upstream's close.
	idleMargin = 1 * timekeeper.Second

	// defaultIdle is how long an idle connection is kept if the upstream announces
	// no keep-alive timeout.
	defaultIdle = 4 * timekeeper.Second
)

// conn is a connection to an upstream. It is used by one exchange at a time.
type conn struct {
	*detector.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the connection was last returned to the pool.
	idleSince timekeeper.Millis
	keepAlive timekeeper.Millis
	reused    bool
	// count is called with the number of bytes sent and received, and bytes is the sum of
	// both.
	count Counter
	bytes atomic.Int64
	// refused reports whether the other end refused a write.
	refused atomic.Bool
	// headRemaining is how many more bytes may be read while a head is, if headBounded.
	headRemaining int
	headBounded   bool
}

// bodyWriter writes a streamed body without buffering.
type bodyWriter struct{ out *conn }

func newConn(c net.Conn, count Counter) *conn {
	k := &conn{Conn: detector.New(c), keepAlive: defaultIdle, count: count}
	k.reader = bufio.NewReaderSize(k, readBuffer)
	k.writer = bufio.NewWriterSize(k, writeBuffer)
	return k
}

// Read reads from the connection and counts the bytes. It fails if a head exceeds its bound.
func (c *conn) Read(b []byte) (int, error) {
	if c.headBounded {
		if c.headRemaining <= 0 {
			return 0, errHeadTooLong
		}
		b = b[:min(len(b), c.headRemaining)]
	}
	n, err := c.Conn.Read(b)
	if c.headBounded {
		c.headRemaining -= n
	}
	c.addBytes(0, int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	c.addBytes(int64(n), 0)
	return n, err
}

func (c *conn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		c.refused.Store(true)
	}
	return n, err
}

// refusesWrites reports whether the other end has closed the connection for writes. What it sent
// before can still be read, and reads do not block after that.
func (c *conn) refusesWrites() bool {
	return c.refused.Load()
}

// ReadFrom lets streamed bodies bypass the small write buffer.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(bodyWriter{c}, r)
}

// Write counts the bytes before it writes them, since another goroutine may read the
// response to a body as soon as the body is written.
func (w bodyWriter) Write(b []byte) (int, error) {
	w.out.addBytes(int64(len(b)), 0)
	return w.out.write(b)
}

func (c *conn) addBytes(sent, received int64) {
	c.bytes.Add(sent + received)
	if c.count != nil {
		c.count(sent, received)
	}
}

// stillIdle reports whether the upstream has neither closed an idle connection nor
// sent anything on it. Bytes that precede a request cannot be its response.
func (c *conn) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

// withinKeepAlive reports whether an idle connection is still within its keep-alive time.
func (c *conn) withinKeepAlive(now timekeeper.Millis) bool {
	return now-c.idleSince < c.keepAlive
}

// applyKeepAlive sets the keep-alive time from the Keep-Alive header of a response, less
// idleMargin.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, v := range h["Keep-Alive"] {
		for _, f := range strings.Split(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				c.keepAlive = max(timekeeper.Millis(seconds)*timekeeper.Second-idleMargin, 0)
			}
		}
	}
}

// abort makes pending and later reads and writes fail with a timeout.
func (c *conn) abort() {
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}
