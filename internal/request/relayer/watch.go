package relayer

import (
	"context"
	"net/http"
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

// Watch returns a context that ends with ErrSilent once a helper does not respond to a question
// whether it is there. A VM that loses power does not close its connections, and what it was handed
// over would otherwise wait until its time is over. The caller must call stop.
func (r *Relayer) Watch(ctx context.Context, h *Helper) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	w := &watch{relayer: r, helper: h, ctx: watched, cancel: cancel}
	w.timer = time.AfterFunc(watchInterval.Duration(), w.run)
	return watched, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// watch is the observation of a helper for one request.
type watch struct {
	relayer *Relayer
	helper  *Helper
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
}

// run asks the helper once, and again after watchInterval.
func (w *watch) run() {
	if w.ctx.Err() != nil {
		return
	}
	if !w.relayer.alive(w.ctx, w.helper) && w.ctx.Err() == nil {
		w.helper.Avoid()
		w.cancel(ErrSilent)
		return
	}
	w.timer.Reset(watchInterval.Duration())
}

// alive reports whether a helper responds to a call that names no upstream.
func (r *Relayer) alive(ctx context.Context, h *Helper) bool {
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
