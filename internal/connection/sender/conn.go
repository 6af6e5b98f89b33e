package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10

	// idleMargin is taken off the time for which an upstream says it keeps an
	// idle connection, so that a request does not cross the upstream's close.
	idleMargin = 1 * timekeeper.Second

	// defaultIdle is how long a connection is kept when the upstream says
	// nothing of it.
	defaultIdle = 4 * timekeeper.Second
)

// conn is one connection to an upstream. One goroutine uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last answer ended.
	idleSince timekeeper.Millis
	keep      timekeeper.Millis
	reused    bool
	// count is told of all bytes that are sent and received, and bytes are their sum.
	count Counter
	bytes atomic.Int64
}

// bodyWriter writes a body that arrives while it is sent.
type bodyWriter struct{ to *conn }

func newConn(c net.Conn, count Counter) *conn {
	k := &conn{Conn: c, keep: defaultIdle, count: count}
	k.reader = bufio.NewReaderSize(k, readBuffer)
	k.writer = bufio.NewWriterSize(k, writeBuffer)
	return k
}

// Read counts what it reads.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counted(0, int64(n))
	return n, err
}

// Write counts what it writes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counted(int64(n), 0)
	return n, err
}

// ReadFrom lets bodies that arrive while they are sent pass the small buffer by.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(bodyWriter{c}, r)
}

// Write counts before it writes: the answer to a body may be read by another goroutine as
// soon as it is written.
func (w bodyWriter) Write(b []byte) (int, error) {
	w.to.counted(int64(len(b)), 0)
	return w.to.Conn.Write(b)
}

func (c *conn) counted(sent, received int64) {
	c.bytes.Add(sent + received)
	if c.count != nil {
		c.count(sent, received)
	}
}

// quiet tells whether the other end has neither closed an idle connection nor
// sent anything on it. What comes without a request belongs to none.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// fresh tells whether an idle connection may be used once more.
func (c *conn) fresh(now timekeeper.Millis) bool {
	return now-c.idleSince < c.keep
}

// noteKeepAlive takes over how long the upstream keeps the connection.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, v := range h["Keep-Alive"] {
		for _, f := range strings.Split(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				c.keep = max(timekeeper.Millis(seconds)*timekeeper.Second-idleMargin, 0)
			}
		}
	}
}

// abort ends whatever waits on the connection.
func (c *conn) abort() {
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}
