package detector_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/detector"
)

const (
	// part is what the other end sends before the connection ends.
	part = "part"

	// blockBytes is the length of a write. Enough of them fill the buffers of a connection.
	blockBytes = 64 << 10
)

// orderedConn is a connection whose first failed write, and first read that returns io.EOF, take place
// in a given order.
type orderedConn struct {
	*net.TCPConn
	// mayRead is closed when a write has failed, and mayReturn lets that write return.
	mayRead, mayReturn chan struct{}
	// ended is called when a read returns io.EOF.
	ended func()
}

func (c *orderedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		close(c.mayRead)
		<-c.mayReturn
	}
	return n, err
}

func (c *orderedConn) Read(b []byte) (int, error) {
	<-c.mayRead
	n, err := c.TCPConn.Read(b)
	if err == io.EOF {
		c.ended()
	}
	return n, err
}

// connect returns both ends of a connection.
func connect(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		other.Close()
	})
	return c.(*net.TCPConn), other.(*net.TCPConn)
}

// writeAll writes until a write fails, and returns its error.
func writeAll(w io.Writer) error {
	for {
		if _, err := w.Write(make([]byte, blockBytes)); err != nil {
			return err
		}
	}
}

// TestResetIsSeenByReader guards against a connection that was reset and looks closed to its reader,
// since a write got the error: whether that write has returned at the time of the read or not.
func TestResetIsSeenByReader(t *testing.T) {
	for _, returned := range []bool{false, true} {
		t.Run(map[bool]string{false: "write in progress", true: "write returned"}[returned], func(t *testing.T) {
			is := is.New(t)
			here, there := connect(t)
			_, err := io.WriteString(there, part)
			is.NoErr(err)
			is.NoErr(there.SetLinger(0))
			is.NoErr(there.Close())
			o := &orderedConn{TCPConn: here, mayRead: make(chan struct{}), mayReturn: make(chan struct{})}
			o.ended = sync.OnceFunc(func() { close(o.mayReturn) })
			if returned {
				o.ended()
			}
			c := detector.New(o)
			failed := make(chan error, 1)
			go func() { failed <- writeAll(c) }()
			if returned {
				is.True(errors.Is(<-failed, syscall.ECONNRESET))
			}
			b, err := io.ReadAll(c)
			is.True(errors.Is(err, syscall.ECONNRESET)) // not the end of the data
			is.Equal(string(b), part)
			_, err = c.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET)) // nor later
		})
	}
}

// TestCloseIsSeenByReader guards against a connection that the other end closed and that looks lost to
// its reader, or blocks it, because of a write.
func TestCloseIsSeenByReader(t *testing.T) {
	tests := map[string]func(*is.I, *net.TCPConn){
		"reads on":   func(is *is.I, there *net.TCPConn) { is.NoErr(there.CloseWrite()) },
		"reads none": func(is *is.I, there *net.TCPConn) { is.NoErr(there.Close()) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			here, there := connect(t)
			_, err := io.WriteString(there, part)
			is.NoErr(err)
			end(is, there)
			c := detector.New(here)
			failed := make(chan error, 1)
			go func() { failed <- writeAll(c) }()
			if name == "reads none" {
				is.True(errors.Is(<-failed, syscall.EPIPE)) // the reset follows the end of the data
			}
			b, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(b), part)
			if name == "reads on" {
				is.True(errors.Is(<-failed, os.ErrDeadlineExceeded)) // the write in progress ends
			}
			is.NoErr(here.SetDeadline(time.Time{}))
		})
	}
}
