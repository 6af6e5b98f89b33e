package dispatcher

import (
	"errors"
	"strconv"
	"time"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// mayRepeat says why the request is not sent once more, "" if it may be.
func (x *exchange) mayRepeat() string {
	switch {
	case x.r.Context().Err() != nil:
		return "caller left"
	case x.until-x.d.Clock.Now() < leastTime:
		return "no time left"
	case len(x.tried) == 0:
		return ""
	case x.unknown && !x.route.Kind.Repeatable():
		return "may have run"
	case x.stream != nil:
		return "body sent"
	case x.unknown && x.careful():
		return "suspected"
	case len(x.tried)-x.misdirected >= x.route.Attempts:
		return "attempts used up"
	case !x.d.Retries.Take(x.part):
		return "retry budget used up"
	}
	return ""
}

// send sends the request to u and reports whether it is answered.
func (x *exchange) send(u *cataloger.Upstream) bool {
	t := x.d.Upstreams.Of(u)
	t.Begin()
	defer t.End()
	a, err := t.Pool.Do(x.r.Context(), x.request(u))
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
		return false
	case errors.Is(err, sender.ErrNotSent):
		x.notSent(u, t)
		return false
	}
	x.tried = append(x.tried, u.Incarnation())
	if err != nil {
		return x.lost(u, t, err)
	}
	defer a.Close()
	defer func() { x.decision.Bytes += a.Bytes() }()
	x.note(t, a)
	return x.answer(u, t, a)
}

// notSent notes that a request did not reach its upstream.
func (x *exchange) notSent(u *cataloger.Upstream, t *tracker.Upstream) {
	x.unreached = append(x.unreached, u.Incarnation())
	x.decision.Reason = "upstream not reached"
	if x.r.Context().Err() != nil {
		return
	}
	t.Unreached()
	x.d.Meter.Count("upstream_unreached", x.labels(""))
}

func (x *exchange) request(u *cataloger.Upstream) *sender.Request {
	now := x.d.Clock.Now()
	h := x.header
	if f := x.d.Fields.Deadline; f != "" {
		h[f] = []string{strconv.FormatInt(int64(max(x.until-now, 1)), 10)}
	}
	if f := x.d.Fields.Expected; f != "" {
		h[f] = []string{string(u.ID)}
	}
	x.nameOrganisation(h)
	q := &sender.Request{
		Method:      x.r.Method,
		Target:      x.r.RequestURI,
		Host:        x.r.Host,
		Header:      h,
		Short:       x.short,
		Stream:      x.stream,
		Length:      x.length,
		EchoField:   x.d.Fields.RequestID,
		Echo:        x.r.Header.Get(x.d.Fields.RequestID),
		Until:       time.Now().Add((x.until - now).Duration()),
		DialTimeout: min(dialTimeout, max(x.until-now, 1)),
		Check:       func() bool { return x.mayStillGo(u) },
	}
	if !x.route.Kind.Repeatable() {
		q.Young = youngIdle
	}
	return q
}

// mayStillGo tells right before sending whether the upstream still takes work, the
// configuration still sends the request there, and the request is not in quarantine.
func (x *exchange) mayStillGo(u *cataloger.Upstream) bool {
	if x.d.Catalog().Usable(u.Incarnation()) == nil {
		return false
	}
	if x.d.Config() != x.config || x.barredNow() {
		return false
	}
	if x.sentAfter < 0 {
		x.sentAfter = x.d.Clock.Now() - x.began
	}
	return true
}

// lost handles a request that was sent and got no answer.
func (x *exchange) lost(u *cataloger.Upstream, t *tracker.Upstream, err error) bool {
	x.mayHaveRun()
	if x.r.Context().Err() != nil {
		x.decision.Reason = "caller left"
		return false
	}
	t.Lost()
	switch {
	case errors.Is(err, sender.ErrTimeout):
		x.decision.Reason = "no answer in time"
	case errors.Is(err, sender.ErrSilent):
		t.Unreached()
		x.decision.Reason = "upstream silent"
	case errors.Is(err, sender.ErrMalformed):
		x.decision.Reason = "malformed answer"
	default:
		x.decision.Reason = "connection lost"
		x.check(u, t, err, x.repeatable())
	}
	x.d.Meter.Count("upstream_lost", x.labels(x.decision.Reason))
	return false
}

// note takes over what an answer says of its upstream.
func (x *exchange) note(t *tracker.Upstream, a *sender.Answer) {
	if v := a.Header.Get(x.d.Fields.Load); v != "" && x.d.ParseLoad != nil {
		if r, ok := x.d.ParseLoad(v); ok {
			t.Note(r)
		}
	}
}
