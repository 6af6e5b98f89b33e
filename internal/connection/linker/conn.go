package linker

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// acceptedReadTimeout closes an accepted link over which nothing arrives. The
	// dialling side sends a ping after idlePingInterval, so a link silent for longer is
	// half open.
	acceptedReadTimeout = 3 * idlePingInterval

	// closeTimeout bounds how long a link that is closed is read to its end: a few round
	// trips between the farthest regions.
	closeTimeout = 500 * timekeeper.Millis(1)
)

// streamReader reads a stream of yamux. A read may return both data and the error of the window
// update that follows it. The error is left out: if it lasts, the next read returns it after all
// data that was received.
type streamReader struct {
	stream io.Reader
}

// Read implements io.Reader.
func (r streamReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if n > 0 {
		return n, nil
	}
	return n, err
}

// linkConn is the network connection of a link. It counts bytes and records when data
// was last read.
type linkConn struct {
	net.Conn
	clock    timekeeper.Clock
	counters *Counters
	lastRead atomic.Int64
	// readTimeout fails a read that receives nothing for that long; 0 means no
	// timeout. deadlineSet is when the read deadline was last set. It is accessed
	// only by the reading goroutine.
	readTimeout timekeeper.Millis
	deadlineSet timekeeper.Millis
	// refused reports whether the remote end refused a write, finishing whether finish was
	// called.
	refused   atomic.Bool
	finishing atomic.Bool
	// readEnded is closed once a read failed, after which nothing more can be read.
	readEnded     chan struct{}
	readEndedOnce sync.Once
}

func newLinkConn(c net.Conn, clock timekeeper.Clock, counters *Counters, readTimeout timekeeper.Millis) *linkConn {
	w := &linkConn{Conn: c, clock: clock, counters: counters, readTimeout: readTimeout, readEnded: make(chan struct{})}
	w.lastRead.Store(int64(clock.Now()))
	return w
}

func (w *linkConn) Read(p []byte) (int, error) {
	if err := w.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Read(p)
	w.counters.WireIn.Add(uint64(n))
	if n > 0 {
		w.lastRead.Store(int64(w.clock.Now()))
	}
	if err != nil {
		w.readEndedOnce.Do(func() { close(w.readEnded) })
	}
	return n, err
}

// Write writes to the connection. Once finish was called, it fails after everything that the remote
// end sent was read.
func (w *linkConn) Write(p []byte) (int, error) {
	if w.finishing.Load() {
		w.awaitReadEnd()
		return 0, net.ErrClosed
	}
	n, err := w.Conn.Write(p)
	w.counters.WireOut.Add(uint64(n))
	switch {
	case err != nil && w.finishing.Load():
		// yamux ends the session as soon as a write fails, and pending reads of its streams
		// poll from then on until the connection is closed.
		w.awaitReadEnd()
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		w.refused.Store(true)
	}
	return n, err
}

// Close closes the connection. yamux calls it as soon as a write fails: if the remote end has closed
// the connection, what it sent before is read first, and no read blocks. Once finish was called, it
// does not wait for a pending write, as the Close of TLS does.
func (w *linkConn) Close() error {
	if w.refused.Load() {
		w.awaitReadEnd()
	}
	if c, ok := w.Conn.(interface{ NetConn() net.Conn }); ok && w.finishing.Load() {
		_ = c.NetConn().Close()
	}
	return w.Conn.Close()
}

// finish tells the remote end that nothing more will be sent, and waits until it has closed the
// connection or ended is closed. A connection that is closed with bytes unread is reset, and what
// the remote end has not received by then is lost.
func (w *linkConn) finish(ended <-chan struct{}) {
	c, ok := w.Conn.(interface{ CloseWrite() error })
	if !ok || w.refused.Load() || w.finishing.Swap(true) {
		return
	}
	t := time.NewTimer(closeTimeout.Duration())
	defer t.Stop()
	go w.runCloseWrite(c.CloseWrite)
	select {
	case <-ended:
	case <-w.readEnded:
	case <-t.C:
	}
}

// runCloseWrite closes the connection for writing. Over TLS that waits for a pending write. An error
// means that the connection ended, which ends its reads.
func (w *linkConn) runCloseWrite(closeWrite func() error) {
	_ = closeWrite()
}

// awaitReadEnd waits until everything that the remote end sent was read.
func (w *linkConn) awaitReadEnd() {
	t := time.NewTimer(closeTimeout.Duration())
	defer t.Stop()
	select {
	case <-w.readEnded:
	case <-t.C:
	}
}

// extendDeadline moves the read deadline forward. It does so at most once in an eighth
// of the timeout, which keeps the cost of frequent reads low.
func (w *linkConn) extendDeadline() error {
	now := w.clock.Now()
	if w.readTimeout == 0 || w.deadlineSet != 0 && now-w.deadlineSet < w.readTimeout/8 {
		return nil
	}
	w.deadlineSet = now
	return w.SetReadDeadline(time.Now().Add(w.readTimeout.Duration()))
}

func (w *linkConn) lastReadTime() timekeeper.Millis {
	return timekeeper.Millis(w.lastRead.Load())
}
