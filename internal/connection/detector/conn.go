package detector

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads return io.EOF only if the other end closed it. It may be read by
// one goroutine while another one writes to it.
type Conn struct {
	net.Conn

	// readLost is the error of the connection that a read got, or nil.
	readLost error

	// writing is held during a write. It guards writeLost, the error of the connection that a write
	// got, or nil.
	writing   sync.Mutex
	writeLost error
}

// New returns a Conn for c.
func New(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if isLoss(err) && c.writeLost == nil {
		c.writeLost = err
	}
	return n, err
}

// Read reads from the connection. At its end, it returns the error of the connection if another call
// got that, and ends a write in progress.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case err == io.EOF:
		err = c.endError()
	case isLoss(err):
		c.readLost = err
	}
	return n, err
}

// endError returns the error with which reads end. A write that got the error of the connection may
// not have returned yet, so it ends a write in progress and waits for it.
func (c *Conn) endError() error {
	if c.readLost != nil {
		return c.readLost
	}
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeLost != nil {
		return c.writeLost
	}
	return io.EOF
}

// isLoss reports whether err is the error with which the connection was lost. EPIPE is not: the other
// end had closed the connection before, or another call got the error.
func isLoss(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
