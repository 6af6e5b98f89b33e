package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// ErrSilent is the cause of the end of a context that Watch returns: the helper does not respond.
var ErrSilent = eris.New("helper silent")

const (
	// watchInterval is how often a helper that has a request is asked whether it is there, beginning
	// so long after it got the request. Most requests end sooner.
	watchInterval = 600 * timekeeper.Millis(1)

	// aliveTimeout is how long a helper may take to respond that it is there: a few round trips
	// between distant regions.
	aliveTimeout = 300 * timekeeper.Millis(1)
)

// Watch is the observation of a helper until it responds to one request.
type Watch struct {
	relayer *Relayer
	helper  *Helper
	ctx     context.Context
	cancel  context.CancelCauseFunc

	lock  sync.Mutex
	timer *time.Timer
	// responded reports whether the response has begun, so that nothing is observed any more.
	responded bool
}

// Watch returns a context that ends with ErrSilent if nothing is heard of a helper before it
// responds to a request. A VM that loses power does not close its connections, and what it was handed
// over would otherwise wait until its time is over. The caller must call Responded once the response
// begins, and End once it was read.
func (r *Relayer) Watch(ctx context.Context, h *Helper) (context.Context, *Watch) {
	watched, cancel := context.WithCancelCause(ctx)
	w := &Watch{relayer: r, helper: h, ctx: watched, cancel: cancel}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(watchInterval.Duration(), w.run)
	return watched, w
}

// Responded ends the observation and leaves the context as it is: a response that has begun is not
// ended because the helper is slow. A connection that is lost ends it. A nil Watch does nothing.
func (w *Watch) Responded() {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.responded = true
	w.timer.Stop()
}

// End ends the observation and the context. A nil Watch does nothing.
func (w *Watch) End() {
	if w == nil {
		return
	}
	w.Responded()
	w.cancel(nil)
}

// run asks the helper once, and again after watchInterval.
func (w *Watch) run() {
	if w.ctx.Err() != nil {
		return
	}
	alive := w.relayer.isAlive(w.ctx, w.helper)
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.responded || w.ctx.Err() != nil:
	case alive:
		w.timer.Reset(watchInterval.Duration())
	default:
		w.helper.Avoid()
		w.cancel(ErrSilent)
	}
}

// isAlive asks a helper whether it is there. What it sends over any connection shows that as well: its
// response to the question may wait behind that.
func (r *Relayer) isAlive(ctx context.Context, h *Helper) bool {
	asked := r.Clock.Now()
	return r.responds(ctx, h) || h.heardSince(asked)
}

// responds reports whether a helper responds to a call that names no upstream.
func (r *Relayer) responds(ctx context.Context, h *Helper) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout.Duration())
	defer cancel()
	q := &sender.Request{
		Method: http.MethodGet, Target: "/", Host: h.Beats, Header: http.Header{},
		ConnDeadline: time.Now().Add(aliveTimeout.Duration()), DialTimeout: aliveTimeout,
	}
	resp, _, err := r.Do(ctx, h, Call{Time: aliveTimeout, Probe: true}, q)
	if err != nil {
		return false
	}
	resp.Close()
	return true
}
