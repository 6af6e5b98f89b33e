package linker

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// acceptedReadTimeout closes an accepted link over which nothing arrives. The dialling
// side sends a ping after idlePingInterval, so a link silent for longer is half open.
const acceptedReadTimeout = 3 * idlePingInterval

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
}

func newLinkConn(c net.Conn, clock timekeeper.Clock, counters *Counters, readTimeout timekeeper.Millis) *linkConn {
	w := &linkConn{Conn: c, clock: clock, counters: counters, readTimeout: readTimeout}
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
	return n, err
}

func (w *linkConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.counters.WireOut.Add(uint64(n))
	return n, err
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
