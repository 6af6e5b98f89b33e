package pooler

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// attempt is one sending of a request to one upstream.
	attempt struct {
		pool  *Pool
		up    *upstream
		call  *exchanger.Call
		sent  atomic.Bool
		began timekeeper.Millis
		// giveUp ends the dial that was begun for the request, if any.
		giveUp context.CancelFunc
		// status is that of the answer, 0 for none.
		status int
	}

	// onceBody is a body that the transport can read once only, so that it
	// cannot send the request again on its own.
	onceBody struct {
		io.Reader
	}
)

// replayHeaders make the transport of net/http repeat a request of any method
// after a lost connection, although it may have run. Under a name in lower case
// they mean the same to the upstream and nothing to the transport.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// Close tells the source of the body that nobody reads it any more.
func (b onceBody) Close() error {
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// Run runs a call on an upstream of the pool. valid is asked right before
// sending whether this daemon may still send, and admit whether the call may go.
func (p *Pool) Run(ctx context.Context, c *exchanger.Call, valid func() bool, admit Admission) exchanger.Result {
	u, refused := p.acquire(ctx, c.Deadline, c.Detour)
	if u == nil {
		return refused
	}
	a := &attempt{pool: p, up: u, call: c, began: p.clock.Now()}
	defer a.finish()
	if !valid() {
		return exchanger.Refused(exchanger.ReasonPaused, 0)
	}
	if r, refused := admit(c); refused {
		return r
	}
	if c.Admitted != nil {
		c.Admitted()
	}
	r := a.run(ctx)
	if a.sent.Load() && r.Reason != exchanger.ReasonCancelled && r.Reason != exchanger.ReasonDeadline {
		p.judge(u, isFailure(r, a.status))
	}
	return r
}

func (a *attempt) finish() {
	a.pool.account(a.call.Origin, a.pool.clock.Now()-a.began)
	a.pool.release(a.up)
}

func (a *attempt) run(ctx context.Context) exchanger.Result {
	if d := a.call.Deadline; d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (d - a.began).Duration())
		defer cancel()
	}
	ctx, a.giveUp = withGiveUp(ctx)
	q, err := a.request(ctx)
	if err != nil {
		return exchanger.Refused(exchanger.ReasonBadRequest, 0)
	}
	p, err := a.pool.transport(a.up).RoundTrip(q)
	if err != nil {
		return a.failed(ctx)
	}
	defer p.Body.Close()
	a.status = p.StatusCode
	a.observe(p)
	if p.Header.Get(a.pool.refusalHeader()) != "" {
		discard(p)
		r := exchanger.Refused(exchanger.ReasonUpstreamBusy, retryAfter)
		r.Upstream = a.up.address
		return r
	}
	return a.answer(ctx, p)
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	t := &httptrace.ClientTrace{
		// The head of a request leaves only after this call, so a failure
		// before it is a request that did not run.
		WroteHeaders: func() { a.sent.Store(true) },
	}
	c := a.call
	target, err := url.ParseRequestURI(c.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = a.up.address
	q := &http.Request{
		Method:        c.Method,
		URL:           target,
		Host:          c.Host,
		Header:        withoutReplay(c.Header),
		ContentLength: c.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	a.setBody(q)
	return q.WithContext(httptrace.WithClientTrace(ctx, t)), nil
}

// withoutReplay returns h such that the transport does not repeat the request.
func withoutReplay(h http.Header) http.Header {
	for _, n := range replayHeaders {
		v, ok := h[n]
		if !ok {
			continue
		}
		h = h.Clone()
		delete(h, n)
		h[strings.ToLower(n)] = v
	}
	return h
}

func (a *attempt) setBody(q *http.Request) {
	c := a.call
	switch {
	case len(c.Short) > 0:
		q.Body = onceBody{bytes.NewReader(c.Short)}
		q.ContentLength = int64(len(c.Short))
	case c.Body != nil:
		q.Body = onceBody{c.Body}
	default:
		q.Body = http.NoBody
		q.ContentLength = 0
	}
}

// failed tells what a round trip without an answer means.
func (a *attempt) failed(ctx context.Context) exchanger.Result {
	if ctx.Err() != nil {
		a.giveUp()
		return a.interrupted()
	}
	if !a.sent.Load() {
		a.pool.markDown(a.up)
		r := exchanger.Refused(exchanger.ReasonUpstreamDial, 0)
		r.Upstream = a.up.address
		return r
	}
	return exchanger.Lost(a.lost(ctx), a.up.address)
}

// lost tells, by a new connection, whether the upstream ended that closed one under the call.
// Upstreams also reset connections and close idle ones.
func (a *attempt) lost(ctx context.Context) exchanger.Reason {
	ctx, cancel := context.WithTimeout(ctx, checkTime.Duration())
	defer cancel()
	c, err := a.pool.dial(ctx, a.up.address)
	if err == nil {
		_ = c.Close()
		return exchanger.ReasonUpstreamLost
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || a.pool.leaves(a.up) {
		return exchanger.ReasonUpstreamLost
	}
	a.pool.markDown(a.up)
	return exchanger.ReasonUpstreamEnded
}

func (a *attempt) interrupted() exchanger.Result {
	reason := exchanger.ReasonCancelled
	if d := a.call.Deadline; d > 0 && a.pool.clock.Now() >= d {
		reason = exchanger.ReasonDeadline
	}
	if !a.sent.Load() {
		return exchanger.Refused(reason, 0)
	}
	return exchanger.Lost(reason, a.up.address)
}

// observe acts on what the answer says about the upstream.
func (a *attempt) observe(p *http.Response) {
	leaving := p.Header.Get(a.pool.drainHeader()) != ""
	a.pool.observe(a.up, leaving, p.StatusCode < http.StatusInternalServerError)
}

func (a *attempt) answer(ctx context.Context, p *http.Response) exchanger.Result {
	r := exchanger.Result{Outcome: exchanger.Answered, Upstream: a.up.address}
	head := exchanger.Answer{
		Status:   p.StatusCode,
		Header:   p.Header,
		Length:   p.ContentLength,
		Upstream: a.up.address,
	}
	if err := a.call.Start(head); err != nil {
		r.Reason = exchanger.ReasonCancelled
		return r
	}
	r.Reason = a.copyBody(ctx, p.Body)
	r.Whole = r.Reason == exchanger.ReasonNone
	if r.Whole && len(p.Trailer) > 0 && a.call.Trailer != nil {
		a.call.Trailer(p.Trailer)
	}
	return r
}

func (a *attempt) copyBody(ctx context.Context, body io.Reader) exchanger.Reason {
	b := chunks.Get().(*[framer.ChunkBytes]byte)
	defer chunks.Put(b)
	for {
		n, err := body.Read(b[:])
		if n > 0 {
			if a.call.Write(b[:n]) != nil {
				return exchanger.ReasonCancelled
			}
		}
		if err == io.EOF {
			return exchanger.ReasonNone
		}
		if err != nil && ctx.Err() != nil {
			return exchanger.ReasonUpstreamLost
		}
		if err != nil {
			return a.lost(ctx)
		}
	}
}
