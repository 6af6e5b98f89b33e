package dispatcher

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// shortBody is how much of a body is read before an upstream is chosen, so
	// that a request that was refused there can be sent again.
	shortBody = 64 << 10

	// defaultTimeout bounds a request whose caller and route set no limit.
	defaultTimeout = 60 * timekeeper.Second

	// answerMargin is kept of the caller's time, for the answer to reach it.
	answerMargin = 20 * timekeeper.Millis(1)

	// leastTime is the shortest rest of its time with which a request is sent
	// to an upstream: below it no answer could come.
	leastTime = 50 * timekeeper.Millis(1)

	// dialTimeout bounds the opening of a connection: three round trips between
	// distant regions.
	dialTimeout = 250 * timekeeper.Millis(1)

	// youngIdle is how long a kept connection may have been idle to carry a
	// request that must not run twice: a close that crosses it leaves its
	// outcome unknown.
	youngIdle = 2 * timekeeper.Second

	// fullRetryAfter is when a caller may come back to an upstream that has too
	// much to do: about the time in which half of its line is worked off. Of
	// 0.1, 0.3 and 0.7 s, days under load served 0.735, 0.732 and 0.734.
	fullRetryAfter = 500 * timekeeper.Millis(1)

	// refusedRetryAfter is when a caller may come back whose request upstreams
	// refused though they had room: the next one may be taken. Where all of
	// them refuse half of what they get, 0.1 s served 0.743 and 0.3 s 0.726.
	refusedRetryAfter = 100 * timekeeper.Millis(1)

	// unknownRetryAfter is when a caller may come back to an entry that does
	// not know the configuration yet.
	unknownRetryAfter = 500 * timekeeper.Millis(1)

	// steadyStop is how much longer a stopping entry must live than a new
	// request may take.
	steadyStop = 300 * timekeeper.Millis(1)
)

// exchange is one request of a caller on its way.
type exchange struct {
	d     *Dispatcher
	w     http.ResponseWriter
	r     *http.Request
	began timekeeper.Millis

	config *matcher.Config
	route  *matcher.Route
	// part is the service that the route's weights give the request.
	part resolver.ServiceName
	key  hasher.Hash

	// until is when the request is given up, by the monotonic clock.
	until timekeeper.Millis
	// deadline is when the caller leaves.
	deadline timekeeper.Millis

	header http.Header
	short  []byte
	stream io.Reader
	length int64

	tried []cataloger.UpstreamID
	// unknown tells that the request may have run.
	unknown bool

	decision Decision
}

// record tells how the request ended.
func (x *exchange) record() {
	e := &x.decision
	e.ID = x.r.Header.Get(x.d.Fields.RequestID)
	e.Took = x.d.Clock.Now() - x.began
	e.Tries = len(x.tried)
	x.d.measure(e)
	if x.d.Decided != nil {
		x.d.Decided(e)
	}
}

func (x *exchange) serve() {
	if !x.resolve() || !x.inTime() || !x.readBody() {
		return
	}
	x.header = x.upstreamHeader()
	x.d.Retries.Request(x.part)
	for {
		u, verdict := x.choose()
		if u == nil {
			x.giveUp(string(verdict))
			return
		}
		if x.send(u) {
			return
		}
		if reason := x.mayRepeat(); reason != "" {
			x.giveUp(reason)
			return
		}
	}
}

// resolve finds what the configuration says of the request. It is done again
// before each sending, since a request may have waited.
func (x *exchange) resolve() bool {
	c := x.d.Config()
	if c == nil {
		x.refuse(http.StatusServiceUnavailable, "no configuration", unknownRetryAfter)
		return false
	}
	if x.config == c {
		return true
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.config, x.route = c, c.Match(x.r.Host, path)
	x.decision.Config = c.Version
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	x.setKey()
	x.part = x.route.Service(x.key)
	x.decision.Route, x.decision.Service, x.decision.Class = x.route.Name, string(x.part), x.route.Kind.String()
	return true
}

// setKey takes the key that the caller names, or one of the request's own.
func (x *exchange) setKey() {
	f := x.d.Fields
	k := x.r.Header.Get(f.Key)
	x.decision.Key = k
	if k == "" {
		k = x.r.Header.Get(f.RequestID)
	}
	x.key = hasher.Mix(hasher.OfString(k), x.route.Hash())
}

// inTime sets the request's limits of time, and refuses it if they leave none.
func (x *exchange) inTime() bool {
	x.deadline = x.began + defaultTimeout
	if v := x.r.Header.Get(x.d.Fields.Deadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			x.refuse(http.StatusBadRequest, "bad deadline", 0)
			return false
		}
		x.deadline = x.began + timekeeper.Millis(n)
	}
	x.until = x.deadline - answerMargin
	if t := x.route.Timeout; t > 0 {
		x.until = min(x.until, x.began+t)
	}
	if at := x.d.leavingAt(); at > 0 && x.until+steadyStop > at {
		x.refuse(http.StatusServiceUnavailable, "stopping", 0)
		return false
	}
	return true
}

// readBody reads a body that is short. A longer one is streamed.
func (x *exchange) readBody() bool {
	x.length = x.r.ContentLength
	limit := x.config.Limits.BodyBytes
	if limit > 0 && x.length > limit {
		x.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if x.length == 0 {
		return true
	}
	body := io.Reader(x.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	b, err := io.ReadAll(io.LimitReader(body, shortBody))
	if err != nil {
		x.refuse(http.StatusBadRequest, "body not received whole", 0)
		return false
	}
	if len(b) < shortBody {
		x.short = b
		return true
	}
	x.stream = io.MultiReader(strings.NewReader(string(b)), body)
	return true
}

// choose picks the upstream of the next sending.
func (x *exchange) choose() (*cataloger.Upstream, placer.Verdict) {
	if !x.resolve() {
		return nil, placer.Gone
	}
	s := x.d.Catalog()
	x.decision.Catalog = s.Change
	var space [placer.ListLength]*cataloger.Upstream
	list := x.candidates(space[:0], s.Of(x.part))
	var states [placer.ListLength]placer.State
	for i, u := range list {
		states[i] = x.state(u)
	}
	i, verdict := x.pick(list, states[:len(list)])
	if i < 0 {
		return nil, verdict
	}
	x.decision.Load, x.decision.Own = states[i].Reported, states[i].Own
	return list[i], placer.Fit
}

// pick chooses among the candidates, and moves the key if that is the choice. Only a
// few keys may move in a second.
func (x *exchange) pick(list []*cataloger.Upstream, states []placer.State) (int, placer.Verdict) {
	if !x.homed() {
		return placer.Choose(states, x.urgent())
	}
	i, verdict, move := placer.ChooseHomed(states, x.urgent())
	if move && !x.d.Homes.Move(x.key, list[i]) {
		return -1, verdict
	}
	return i, verdict
}

// candidates returns the home of the request's key, and the upstreams that its
// hash prefers.
func (x *exchange) candidates(l []*cataloger.Upstream, all []*cataloger.Upstream) []*cataloger.Upstream {
	if !x.homed() {
		return placer.List(l, x.key, all, x.route.Allows)
	}
	home := x.d.Homes.Home(x.key, all, x.route.Allows)
	if home == nil {
		return l
	}
	l = append(l, home)
	var space [placer.ListLength]*cataloger.Upstream
	for _, u := range placer.List(space[:0], x.key, all, x.route.Allows) {
		if u != home && len(l) < placer.ListLength {
			l = append(l, u)
		}
	}
	return l
}

// homed tells whether the request's key has a home that is worth keeping to.
func (x *exchange) homed() bool {
	return x.d.Homes != nil && x.route.Sticky && x.decision.Key != ""
}

func (x *exchange) state(u *cataloger.Upstream) placer.State {
	t := x.d.Upstreams.Of(u)
	s := t.State(u)
	for _, id := range x.tried {
		s.Tried = s.Tried || id == u.ID
	}
	if !s.Tried && u.Cold(x.d.Clock.Now()) {
		s.Cold = x.d.AllowCold == nil || !x.d.AllowCold(u, t)
	}
	return s
}

// urgent tells whether no request of the configuration goes before this one.
func (x *exchange) urgent() bool {
	return x.route.Rank <= x.config.Urgent(x.part)
}

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
	case len(x.tried) >= x.route.Attempts:
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
	x.decision.Upstream = u.ID
	a, err := t.Pool.Do(x.r.Context(), x.request(u))
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
		return false
	case errors.Is(err, sender.ErrNotSent):
		x.notSent(t)
		return false
	}
	x.tried = append(x.tried, u.ID)
	if err != nil {
		return x.lost(t, err)
	}
	defer a.Close()
	x.note(t, a)
	return x.answer(t, a)
}

// notSent notes that a request did not reach its upstream.
func (x *exchange) notSent(t *tracker.Upstream) {
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
	h[x.d.Fields.Deadline] = []string{strconv.FormatInt(int64(max(x.until-now, 1)), 10)}
	h[x.d.Fields.Expected] = []string{string(u.ID)}
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

// mayStillGo tells right before sending whether the upstream still takes work
// and the configuration still sends the request there.
func (x *exchange) mayStillGo(u *cataloger.Upstream) bool {
	if x.d.Catalog().Usable(u.ID) == nil {
		return false
	}
	return x.d.Config() == x.config
}

// lost handles a request that was sent and got no answer.
func (x *exchange) lost(t *tracker.Upstream, err error) bool {
	x.unknown = true
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

// retryAfter is when a caller may come back whose request did not run.
func (x *exchange) retryAfter() timekeeper.Millis {
	if len(x.tried) > 0 {
		return refusedRetryAfter
	}
	return fullRetryAfter
}

// giveUp answers a request that no upstream answered.
func (x *exchange) giveUp(reason string) {
	if x.r.Context().Err() != nil {
		x.finish(exchanger.Unknown, "caller left", 0)
		return
	}
	if x.decision.Status != 0 {
		return
	}
	if x.decision.Reason != "" {
		reason = x.decision.Reason + ", " + reason
	}
	if !x.unknown {
		x.refuse(http.StatusServiceUnavailable, reason, x.retryAfter())
		return
	}
	status := http.StatusBadGateway
	if x.d.Clock.Now() >= x.until-leastTime {
		status = http.StatusGatewayTimeout
	}
	x.fail(status, reason)
}
