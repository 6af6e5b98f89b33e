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
	// defaultIdleTimeout bounds the pauses within a response or a request body. It allows
	// for several retransmissions on a lossy path. The whole transfer is not bounded in
	// this way, since a response too long for the bandwidth could then never be read: with
	// 600 ms for a whole response, VMs with 10 Mbit/s never received a configuration of
	// 1 MB (TestLargeConfigurationOverNarrowLinks).
	defaultIdleTimeout = 1 * timekeeper.Second

	// defaultMaxTransferTime bounds the transfer of one call, so that a very slow one
	// ends. MaxObjectBytes in this time are 70 KB/s, a twentieth of the narrowest link.
	defaultMaxTransferTime = 15 * timekeeper.Second

	// maxUnmonitoredBytes is the length up to which a request body is sent without
	// progress monitoring. Such a body fits into the connection's buffers, and without
	// monitoring it is sent in one packet with the headers instead of two.
	maxUnmonitoredBytes = 64 << 10
)

// progressTimer cancels a call that makes no progress. Its initial deadline is that for the
// response to begin. Each read moves the deadline to the idle timeout from then, at most to
// latest, but never to an earlier time.
type progressTimer struct {
	cancel   context.CancelCauseFunc
	lock     sync.Mutex
	timer    *time.Timer
	deadline time.Time
	latest   time.Time
}

// startProgressTimer returns a context that is cancelled with DeadlineExceeded as its cause
// when the call makes no progress for too long.
func (c *Client) startProgressTimer(ctx context.Context, timeout timekeeper.Millis) (context.Context, *progressTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	deadline := time.Now().Add(timeout.Duration())
	p := &progressTimer{
		cancel:   cancel,
		deadline: deadline,
		latest:   deadline.Add(cmp.Or(c.MaxTransferTime, defaultMaxTransferTime).Duration()),
	}
	p.timer = time.AfterFunc(timeout.Duration(), p.expire)
	return ctx, p
}

func (p *progressTimer) expire() {
	p.cancel(context.DeadlineExceeded)
}

// stop releases the timer and the context.
func (p *progressTimer) stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// extend moves the deadline to idle from now, within the maximum transfer time.
func (p *progressTimer) extend(idle time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	deadline := time.Now().Add(idle)
	if deadline.After(p.latest) {
		deadline = p.latest
	}
	if deadline.After(p.deadline) {
		p.deadline = deadline
		p.timer.Reset(time.Until(deadline))
	}
}

// monitoredBody is a body that moves the deadline of progressTimer to idle from now on each
// read.
type monitoredBody struct {
	io.ReadCloser
	progressTimer *progressTimer
	idle          time.Duration
}

// Read implements io.Reader.
func (w monitoredBody) Read(b []byte) (int, error) {
	n, err := w.ReadCloser.Read(b)
	if n > 0 {
		w.progressTimer.extend(w.idle)
	}
	return n, err
}
