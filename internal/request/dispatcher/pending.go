package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
)

type (
	// pendingAttempts are the direct attempts without a response that may be made again. The
	// zero value is ready to use.
	pendingAttempts struct {
		lock     sync.Mutex
		attempts map[*pendingAttempt]struct{}
	}

	// pendingAttempt is a direct attempt that waits for the head of its response.
	pendingAttempt struct {
		cancel    context.CancelFunc
		abandoned atomic.Bool
	}
)

// AbandonPending ends the direct attempts that wait for a response and may be made again over
// another member. It is called when no response arrives from any upstream.
func (d *Dispatcher) AbandonPending() {
	if d.Relay == nil || d.Relay.Choose(anyRegion, nil) == nil {
		return
	}
	d.pending.abandon()
}

func anyRegion(string) bool { return true }

func (p *pendingAttempts) add(a *pendingAttempt) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.attempts == nil {
		p.attempts = map[*pendingAttempt]struct{}{}
	}
	p.attempts[a] = struct{}{}
}

func (p *pendingAttempts) remove(a *pendingAttempt) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.attempts, a)
}

func (p *pendingAttempts) abandon() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for a := range p.attempts {
		a.abandoned.Store(true)
		a.cancel()
	}
	clear(p.attempts)
}

// sendDirect sends an attempt over a connection of this VM, for a request with the context ctx.
// abandoned reports that an attempt which may be made again ended because no response arrives here.
func (d *Dispatcher) sendDirect(ctx context.Context, t *tracker.Upstream, q *sender.Request, retryable bool) (resp *sender.Response, abandoned bool, err error) {
	if !retryable {
		resp, err = t.Pool.Do(ctx, q)
		return resp, false, err
	}
	// The context of the request ends this one, which lasts as long as the response.
	ctx, cancel := context.WithCancel(ctx)
	a := &pendingAttempt{cancel: cancel}
	d.pending.add(a)
	defer d.pending.remove(a)
	resp, err = t.Pool.Do(ctx, q)
	return resp, a.abandoned.Load(), err
}
