package dispatcher

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// retryRefusal returns why the request must not be retried, or "" if it may be.
func (x *exchange) retryRefusal() string {
	switch {
	case x.r.Context().Err() != nil:
		return "caller left"
	case x.expiresAt-x.d.Clock.Now() < minAttemptTime:
		return "no time left"
	case x.bodyRead:
		return "body sent"
	case len(x.attempted) == 0:
		return ""
	case x.mayHaveRun && !x.route.Kind.Retryable():
		return "may have run"
	case x.streamedBody != nil:
		return "body sent"
	case x.mayHaveRun && x.isolated():
		return "suspected"
	case len(x.attempted)-x.misdirected >= x.route.Attempts:
		return "attempts used up"
	case !x.acquireRetry():
		return "retry budget used up"
	}
	return ""
}

// acquireRetry takes a retry from the budget, unless the request holds one that reached no upstream.
func (x *exchange) acquireRetry() bool {
	if x.heldRetry == x.service && x.heldRetry != "" {
		return true
	}
	x.releaseRetry()
	if !x.d.Retries.Acquire(x.service) {
		return false
	}
	x.heldRetry = x.service
	return true
}

// releaseRetry returns the retry that the request holds, if any.
func (x *exchange) releaseRetry() {
	if x.heldRetry != "" {
		x.d.Retries.Release(x.heldRetry)
	}
	x.heldRetry = ""
}

// recordAttempt records an attempt that reached an upstream, or may have. It uses up the retry that
// the request holds.
func (x *exchange) recordAttempt(u *cataloger.Upstream) {
	x.attempted = append(x.attempted, u.Incarnation())
	if x.heldRetry != "" {
		x.decision.ChargedRetries++
	}
	x.heldRetry = ""
}

// send sends the request to u and reports whether the caller got a response.
func (x *exchange) send(u *cataloger.Upstream) bool {
	t := x.d.Upstreams.StateOf(u)
	t.Begin(x.path(t))
	defer t.End()
	if x.helper != nil {
		return x.sendRelayed(u, t)
	}
	x.decision.Helper = ""
	x.attemptContext = x.r.Context()
	began := x.d.Clock.Now()
	x.sentAt = began
	resp, abandoned, err := x.d.sendDirect(x.r.Context(), t, x.newRequest(u, t), x.retryable())
	x.recordReach(u, began, err)
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
		return false
	case errors.Is(err, sender.ErrNotSent):
		x.handleNotSent(u, t)
		return false
	}
	x.recordAttempt(u)
	if err != nil {
		return x.handleLost(u, t, err, abandoned)
	}
	defer resp.Close()
	defer func() { x.decision.Bytes += resp.Bytes() }()
	x.recordLoad(t, resp)
	return x.handleResponse(u, t, resp)
}

// recordReach tells the prober what an attempt that began at a time shows of this VM's access to
// upstreams. Dials are reported where they are made.
func (x *exchange) recordReach(u *cataloger.Upstream, began timekeeper.Millis, err error) {
	switch {
	case x.d.Reach == nil:
	case err == nil:
		x.d.Reach.RecordResponse(u.Address, began)
	case errors.Is(err, sender.ErrUnacknowledged):
		x.d.Reach.RecordUnreached(u.Address)
	}
}

// handleNotSent records that the request did not reach its upstream.
func (x *exchange) handleNotSent(u *cataloger.Upstream, t *tracker.Upstream) {
	x.unreached = append(x.unreached, u.Incarnation())
	x.decision.Reason = "upstream not reached"
	if x.r.Context().Err() != nil {
		return
	}
	if !x.onlyKept() {
		t.Direct.RecordDialFailure()
	}
	x.d.Meter.Count("upstream_unreached", x.labels(""))
}

func (x *exchange) newRequest(u *cataloger.Upstream, t *tracker.Upstream) *sender.Request {
	now := x.d.Clock.Now()
	h := x.header
	if f := x.d.Fields.Deadline; f != "" {
		h[f] = []string{strconv.FormatInt(int64(max(x.expiresAt-now, 1)), 10)}
	}
	if f := x.d.Fields.Expected; f != "" {
		h[f] = []string{string(u.ID)}
	}
	x.setOrganisation(h)
	q := &sender.Request{
		Method:       x.r.Method,
		Target:       x.r.RequestURI,
		Host:         x.r.Host,
		Header:       h,
		Buffered:     x.bufferedBody,
		Stream:       x.streamedBody,
		Length:       x.bodyLength,
		EchoField:    x.d.Fields.RequestID,
		Echo:         x.r.Header.Get(x.d.Fields.RequestID),
		ConnDeadline: time.Now().Add((x.expiresAt - now).Duration()),
		DialTimeout:  min(dialTimeout, max(x.expiresAt-now, 1)),
		NoDial:       x.onlyKept(),
		Trail:        &x.trail,
		Check:        func() bool { return x.maySendNow(u, t) },
		OnHead:       func(status int, h http.Header) { x.recordAdvice(u, t, status, h) },
	}
	q.MaxIdle = x.maxIdle()
	return q
}

// maySendNow is called right before sending. It reports whether the upstream still accepts
// work and is not paused, the configuration is unchanged, and the request is not in quarantine.
func (x *exchange) maySendNow(u *cataloger.Upstream, t *tracker.Upstream) bool {
	x.sentAgainst = x.d.Catalog()
	if x.sentAgainst.Usable(u.Incarnation()) == nil {
		return false
	}
	if x.d.Config() != x.config || x.quarantinedNow() {
		return false
	}
	if t.PauseLeft() > 0 {
		x.sawPause = true
		return false
	}
	if x.sentAfter < 0 {
		x.sentAfter = x.d.Clock.Now() - x.arrivedAt
	}
	return true
}

// handleLost handles a request that was sent and got no valid response.
// abandoned means that it was given up because no response arrives here.
func (x *exchange) handleLost(u *cataloger.Upstream, t *tracker.Upstream, err error, abandoned bool) bool {
	x.markMayHaveRun()
	if x.r.Context().Err() != nil {
		x.decision.Reason = "caller left"
		return false
	}
	t.Direct.RecordLoss()
	switch {
	case abandoned:
		x.decision.Reason = reasonNoneReached
	case errors.Is(err, sender.ErrTimeout):
		x.decision.Reason = "no answer in time"
	case errors.Is(err, sender.ErrUnacknowledged):
		t.Direct.RecordDialFailure()
		x.decision.Reason = "upstream silent"
	case errors.Is(err, sender.ErrMalformed):
		x.decision.Reason = "malformed answer"
	default:
		x.decision.Reason = "connection lost"
		x.checkLoss(u, t, err, x.retryable())
	}
	x.d.Meter.Count("upstream_lost", x.labels(x.decision.Reason))
	return false
}

// recordLoad records the load that the upstream reports in a response.
func (x *exchange) recordLoad(t *tracker.Upstream, resp *sender.Response) {
	if v := resp.Header.Get(x.d.Fields.Load); v != "" && x.d.ParseLoad != nil {
		r, ok := x.d.ParseLoad(v)
		if ok {
			t.RecordLoad(r)
		}
		x.measureReport(r, ok)
	}
}
