package linker

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// silenceLimit is how long nothing may come over an accepted link. Whoever dialled
// sends a ping after idlePing, so a link silent for longer is half open.
const silenceLimit = 3 * idlePing

// wire is the connection beneath a link. It counts bytes, and knows when the other
// end was last heard of.
type wire struct {
	net.Conn
	clock    timekeeper.Clock
	counters *Counters
	heard    atomic.Int64
	// limit ends the link after so long a silence, 0 never. renewed is when
	// that was last put off; only the reader uses it.
	limit   timekeeper.Millis
	renewed timekeeper.Millis
}

func newWire(c net.Conn, clock timekeeper.Clock, counters *Counters, limit timekeeper.Millis) *wire {
	w := &wire{Conn: c, clock: clock, counters: counters, limit: limit}
	w.heard.Store(int64(clock.Now()))
	return w
}

func (w *wire) Read(p []byte) (int, error) {
	if err := w.renew(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Read(p)
	w.counters.WireIn.Add(uint64(n))
	if n > 0 {
		w.heard.Store(int64(w.clock.Now()))
	}
	return n, err
}

func (w *wire) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.counters.WireOut.Add(uint64(n))
	return n, err
}

// renew puts the end of the silence off, at most a few times within its length.
func (w *wire) renew() error {
	now := w.clock.Now()
	if w.limit == 0 || w.renewed != 0 && now-w.renewed < w.limit/8 {
		return nil
	}
	w.renewed = now
	return w.SetReadDeadline(time.Now().Add(w.limit.Duration()))
}

func (w *wire) lastHeard() timekeeper.Millis {
	return timekeeper.Millis(w.heard.Load())
}
