package pooler

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

type (
	// attempt is one attempt to send a request to one upstream.
	attempt struct {
		pool *Pool
		dest *upstream
		call *exchanger.Call
		// connected reports whether a connection was chosen, and sent whether a part of
		// the request may have been written. Without that it did not run.
		connected atomic.Bool
		sent      atomic.Bool
		started   timekeeper.Millis
		// cancelDial cancels the dial that was started for the request, if any.
		cancelDial context.CancelFunc
		// status is the status code of the response, 0 if there is none.
		status int
	}

	// singleReadBody is a body that the transport can read only once, so that it
	// cannot resend the request on its own.
	singleReadBody struct {
		io.Reader
	}
)

// replayHeaders make the transport of net/http resend a request of any method after a
// lost connection, although it may have run. The transport looks them up by their
// canonical names, so in lower case only the upstream recognises them.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// Close closes the source of the body if it is a Closer.
func (b singleReadBody) Close() error {
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// Run sends a call to an upstream of the pool. Right before sending, valid reports
// whether this daemon may still send, and admit whether the call is refused.
func (p *Pool) Run(ctx context.Context, c *exchanger.Call, valid func() bool, admit Admission) exchanger.Result {
	u, refused := p.acquire(ctx, c.Deadline, c.Detour)
	if u == nil {
		return refused
	}
	a := &attempt{pool: p, dest: u, call: c, started: p.clock.Now()}
	defer a.finish()
	if !valid() {
		return exchanger.Refused(exchanger.ReasonMembershipExpired, 0)
	}
	if r, refused := admit(c); refused {
		return r
	}
	if c.Admitted != nil {
		c.Admitted()
	}
	r := a.run(ctx)
	if a.sent.Load() && r.Reason != exchanger.ReasonCancelled && r.Reason != exchanger.ReasonDeadline {
		p.recordOutcome(u, isFailure(r, a.status))
	}
	return r
}

func (a *attempt) finish() {
	a.pool.recordHold(a.call.Origin, a.pool.clock.Now()-a.started)
	a.pool.release(a.dest)
}

func (a *attempt) run(ctx context.Context) exchanger.Result {
	if d := a.call.Deadline; d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (d - a.started).Duration())
		defer cancel()
	}
	ctx, a.cancelDial = withDialCancel(ctx)
	q, err := a.request(ctx)
	if err != nil {
		return exchanger.Refused(exchanger.ReasonBadRequest, 0)
	}
	p, err := verifier.RoundTrip(q, a.pool.transportOf(a.dest).RoundTrip)
	if err != nil {
		return a.failureResult(ctx)
	}
	defer p.Body.Close()
	a.status = p.StatusCode
	a.pool.recordResponse(a.dest, a.started, p)
	if p.Header.Get(a.pool.refusalHeader()) != "" {
		discard(p)
		r := exchanger.Refused(exchanger.ReasonUpstreamRefused, a.pool.returnAfter())
		r.Upstream = a.dest.address
		return r
	}
	return a.passResponse(ctx, p)
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	t := &httptrace.ClientTrace{GotConn: a.beginRequest}
	c := a.call
	target, err := url.ParseRequestURI(c.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = a.dest.address
	q := &http.Request{
		Method:        c.Method,
		URL:           target,
		Host:          c.Host,
		Header:        withoutReplayHeaders(c.Header),
		ContentLength: c.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	a.setBody(q)
	return q.WithContext(httptrace.WithClientTrace(ctx, t)), nil
}

// withoutReplayHeaders returns h with the replay headers in lower case, so that the
// transport does not resend the request. It leaves h itself as it is.
func withoutReplayHeaders(h http.Header) http.Header {
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
	case len(c.ShortBody) > 0:
		q.Body = singleReadBody{bytes.NewReader(c.ShortBody)}
		q.ContentLength = int64(len(c.ShortBody))
	case c.Body != nil:
		q.Body = singleReadBody{c.Body}
	default:
		q.Body = http.NoBody
		q.ContentLength = 0
	}
}

// failureResult returns the result of a round trip without a response.
func (a *attempt) failureResult(ctx context.Context) exchanger.Result {
	if ctx.Err() != nil {
		a.cancelDial()
		return a.interruptedResult()
	}
	if a.sent.Load() {
		return exchanger.Lost(a.classifyLoss(ctx), a.dest.address)
	}
	if a.connected.Load() {
		a.classifyLoss(ctx)
	} else {
		a.pool.markDown(a.dest)
	}
	r := exchanger.Refused(exchanger.ReasonUpstreamUnreachable, 0)
	r.Upstream = a.dest.address
	return r
}

// classifyLoss returns the reason for a lost connection. Upstreams also reset
// connections and close idle ones while they run, so it opens a new connection: the
// upstream terminated if that is refused and it was not leaving.
func (a *attempt) classifyLoss(ctx context.Context) exchanger.Reason {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout.Duration())
	defer cancel()
	c, err := a.pool.dial(ctx, a.dest.address)
	if err == nil {
		_ = c.Close()
		return exchanger.ReasonUpstreamLost
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || a.pool.isLeaving(a.dest) {
		return exchanger.ReasonUpstreamLost
	}
	a.pool.markDown(a.dest)
	return exchanger.ReasonUpstreamTerminated
}

func (a *attempt) interruptedResult() exchanger.Result {
	reason := exchanger.ReasonCancelled
	if d := a.call.Deadline; d > 0 && a.pool.clock.Now() >= d {
		reason = exchanger.ReasonDeadline
	}
	if !a.sent.Load() {
		return exchanger.Refused(reason, 0)
	}
	return exchanger.Lost(reason, a.dest.address)
}

func (a *attempt) passResponse(ctx context.Context, p *http.Response) exchanger.Result {
	r := exchanger.Result{Outcome: exchanger.Answered, Upstream: a.dest.address}
	if p.StatusCode == http.StatusServiceUnavailable && p.Header.Get("Retry-After") != "" {
		// The upstream's pause is for this daemon. Others may take the caller's next attempt.
		p.Header.Set("Retry-After", strconv.FormatFloat(math.Ceil(a.pool.returnAfter().Duration().Seconds()), 'f', 0, 64))
	}
	head := exchanger.Response{
		Status:   p.StatusCode,
		Header:   p.Header,
		Length:   p.ContentLength,
		Upstream: a.dest.address,
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
	b := chunkBuffers.Get().(*[framer.ChunkBytes]byte)
	defer chunkBuffers.Put(b)
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
			return a.classifyLoss(ctx)
		}
	}
}
