package storer

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// silence is how long nothing may come of an answer that has begun, or go of a body
	// that is being sent: some retransmissions of a path that loses packets. It is
	// counted from byte to byte, since a limit on the whole makes what is longer than
	// limit times bandwidth unreadable for ever: with 600 ms for a whole answer, VMs with
	// 10 Mbit/s never had a configuration of 1 MB (TestLargeConfigurationOverNarrowLinks).
	silence = 1 * timekeeper.Second

	// longestTransfer bounds the transfer of one call, so that one that trickles ends:
	// MaxObjectBytes in this time are 70 KB/s, a twentieth of the narrowest link.
	longestTransfer = 15 * timekeeper.Second

	// shortBody is up to which length, in bytes, the sending of a body is not watched: it
	// fits into the buffers of a connection, and an unwatched one leaves together with its
	// head, in one packet in place of two.
	shortBody = 64 << 10
)

// patience ends a call that makes no progress. It begins with the time that a call has for
// its answer to begin; whatever moves extends that by the longest silence, and never
// shortens it.
type patience struct {
	end   context.CancelCauseFunc
	lock  sync.Mutex
	timer *time.Timer
	until time.Time
	last  time.Time
}

// patience returns a context that ends when a call has made no progress for too long.
func (c *Client) patience(ctx context.Context, timeout timekeeper.Millis) (context.Context, *patience) {
	ctx, end := context.WithCancelCause(ctx)
	until := time.Now().Add(timeout.Duration())
	p := &patience{
		end:   end,
		until: until,
		last:  until.Add(cmp.Or(c.LongestTransfer, longestTransfer).Duration()),
	}
	p.timer = time.AfterFunc(timeout.Duration(), p.expire)
	return ctx, p
}

func (p *patience) expire() {
	p.end(context.DeadlineExceeded)
}

// stop releases what a call holds.
func (p *patience) stop() {
	p.timer.Stop()
	p.end(nil)
}

// moved notes progress, after which nothing may move for a while.
func (p *patience) moved(rest time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	until := time.Now().Add(rest)
	if until.After(p.last) {
		until = p.last
	}
	if until.After(p.until) {
		p.until = until
		p.timer.Reset(time.Until(until))
	}
}

// watched is a body whose reading is progress, after which nothing may move for rest.
type watched struct {
	io.ReadCloser
	patience *patience
	rest     time.Duration
}

// Read reads on and notes that something moved.
func (w watched) Read(b []byte) (int, error) {
	n, err := w.ReadCloser.Read(b)
	if n > 0 {
		w.patience.moved(w.rest)
	}
	return n, err
}
