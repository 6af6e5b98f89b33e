package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/authenticator"
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

	// fieldBytes is what a header field takes beside its name and value: a colon,
	// a space and the end of the line.
	fieldBytes = 4

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
	// much to do: about the time in which half of its line is worked off.
	fullRetryAfter = 500 * timekeeper.Millis(1)

	// refusedRetryAfter is when a caller may come back whose request upstreams
	// refused though they had room: the next one may be taken.
	refusedRetryAfter = 100 * timekeeper.Millis(1)

	// unknownRetryAfter is when a caller may come back to an entry that does
	// not know the configuration yet, or not the latest one: half of what one of
	// 1 MB takes over the narrowest link.
	unknownRetryAfter = 500 * timekeeper.Millis(1)

	// steadyStop is how much longer a stopping entry must live than a new
	// request may take.
	steadyStop = 300 * timekeeper.Millis(1)
)

// exchange is one request of a caller on its way.
type exchange struct {
	d *Dispatcher
	w http.ResponseWriter
	r *http.Request
	// began is when the request arrived, and waited how long it waited since for others
	// of its connection.
	began  timekeeper.Millis
	waited timekeeper.Millis
	// sentAfter is how long after its arrival it was first sent, -1 if it was not.
	sentAfter timekeeper.Millis

	config *matcher.Config
	route  *matcher.Route
	// organisation is whose request it is, nil if it need not say.
	organisation *authenticator.Organisation
	// token is the organisation of whose limit the request holds a token, nil for none.
	token *authenticator.Organisation
	// part is the service that the route's weights give the request.
	part resolver.ServiceName
	// key is what the request is placed by, and sharedKey the one that all organisations share.
	key       hasher.Hash
	sharedKey hasher.Hash

	// until is when the request is given up, by the monotonic clock.
	until timekeeper.Millis
	// deadline is when the caller leaves.
	deadline timekeeper.Millis

	header http.Header
	short  []byte
	// stream is a body that is not short, and beginning what was read of it.
	stream    io.Reader
	beginning []byte
	length    int64
	// fingerprint stands for the request once it was asked for.
	fingerprint *quarantiner.Fingerprint
	// sighting is what was known of the request as a suspect before its latest sending.
	sighting quarantiner.Sighting

	tried []cataloger.Incarnation
	// misdirected is how many of them had ended: another incarnation said so and ran nothing.
	misdirected int
	// unreached are the upstreams to which no connection could be opened for the request.
	unreached []cataloger.Incarnation
	// refusedBy is the upstream that said last that the request did not run there.
	refusedBy cataloger.Incarnation
	// unknown tells that the request may have run.
	unknown bool
	// homePlacement is the home of the request's key, and why it is that one.
	homePlacement assigner.Placement

	decision Decision
}

// record tells how the request ended.
func (x *exchange) record() {
	x.settleToken()
	e := &x.decision
	e.ID = x.r.Header.Get(x.d.Fields.RequestID)
	e.Took = x.d.Clock.Now() - x.began
	e.Waited, e.SentAfter = x.waited, x.sentAfter
	e.Behind = x.d.behind()
	e.Tries = len(x.tried)
	x.d.measure(e)
	if x.d.Decided != nil {
		x.d.Decided(e)
	}
}

func (x *exchange) serve() {
	if !x.resolve() || !x.headFits() || !x.inTime() || !x.readBody() {
		return
	}
	x.header = x.upstreamHeader()
	x.d.Retries.Request(x.part)
	for {
		if x.barred() || !x.admit() {
			return
		}
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
	x.config, x.route = c, c.Match(x.r.Host, pathOf(x.r))
	x.decision.Config = c.Version
	if x.route == nil {
		x.deny(http.StatusNotFound, "no route")
		return false
	}
	if !x.identify() {
		return false
	}
	x.setKey()
	x.part = x.route.Service(x.key)
	x.decision.Route, x.decision.Service, x.decision.Class = x.route.Name, string(x.part), x.route.Kind.String()
	x.decision.Objective = x.route.Objective
	return true
}

// pathOf is the path as it was received: routes go by what upstreams get.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
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
	x.sharedKey = x.key
}

// headFits refuses a head that is longer than the configuration allows.
func (x *exchange) headFits() bool {
	limit := x.config.Limits.HeaderBytes
	if limit == 0 {
		return true
	}
	n := int64(len(x.r.Method) + len(x.r.RequestURI))
	for name, values := range x.r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + fieldBytes)
		}
	}
	if n <= limit {
		return true
	}
	x.deny(http.StatusRequestHeaderFieldsTooLarge, "head too large")
	return false
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
		x.deny(http.StatusRequestEntityTooLarge, "body too large")
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
	x.beginning = b
	x.stream = io.MultiReader(bytes.NewReader(b), body)
	return true
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
	reason = x.because(reason)
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
