package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxBufferedBody is how much of a body is read before an upstream is chosen, so that a
	// request that an upstream refused can be sent again.
	maxBufferedBody = 64 << 10

	// headerFieldOverhead is the size of a header field beyond its name and value: a colon, a
	// space and the line end.
	headerFieldOverhead = 4

	// defaultTimeout bounds a request for which neither caller nor route sets a timeout.
	defaultTimeout = 60 * timekeeper.Second

	// responseMargin is the part of the caller's time reserved for the response to reach it.
	responseMargin = 20 * timekeeper.Millis(1)

	// minAttemptTime is the shortest remaining time with which a request is sent to an
	// upstream: with less, no response could arrive in time.
	minAttemptTime = 50 * timekeeper.Millis(1)

	// dialTimeout bounds a dial: three round trips between distant regions.
	dialTimeout = 250 * timekeeper.Millis(1)

	// maxIdleForOnce is the longest idle time of a pooled connection that may carry a request
	// that must not run twice: if the upstream closes the connection while the request is
	// sent, the outcome is unknown.
	maxIdleForOnce = 2 * timekeeper.Second

	// fullRetryAfter is the Retry-After time when upstreams are full: about the time in which
	// half of an upstream's queue is processed.
	fullRetryAfter = 500 * timekeeper.Millis(1)

	// refusedRetryAfter is the Retry-After time when upstreams refused the request although
	// they had room: the next attempt may be accepted.
	refusedRetryAfter = 100 * timekeeper.Millis(1)

	// cutRetryAfter is the shortest Retry-After time while neither this VM nor one that would help
	// reaches an upstream. Callers return over some more time.
	cutRetryAfter = 1000 * timekeeper.Millis(1)

	// unknownRetryAfter is the Retry-After time while the entry does not know the
	// configuration, or not the latest one: half the time that a configuration of 1 MB takes
	// over the narrowest link.
	unknownRetryAfter = 500 * timekeeper.Millis(1)

	// stopMargin is how much longer a stopping entry must live than a new request may take.
	stopMargin = 300 * timekeeper.Millis(1)
)

// exchange is the state of one request of a caller.
type exchange struct {
	d *Dispatcher
	w http.ResponseWriter
	r *http.Request
	// arrivedAt is when the request arrived, and pipelineWait how long it then waited for the
	// requests before it on its connection.
	arrivedAt    timekeeper.Millis
	pipelineWait timekeeper.Millis
	// sentAfter is the time from arrival to the first attempt, or -1 if there was none.
	sentAfter timekeeper.Millis

	config *matcher.Config
	route  *matcher.Route
	// organisation is the organisation that sent the request, or nil if the route requires
	// none.
	organisation *authenticator.Organisation
	// chargedTo is the organisation of whose limit the request holds a token, or nil if it
	// holds none.
	chargedTo *authenticator.Organisation
	// service is the service that the route's traffic split selects for the request.
	service resolver.ServiceName
	// key is the hash by which the request is placed, and sharedKey the one that all
	// organisations share.
	key       hasher.Hash
	sharedKey hasher.Hash
	// homeDomain is the failure domain to which key belongs, "" if to none.
	homeDomain registrar.Site

	// expiresAt is when the entry gives up on the request, by the monotonic clock.
	expiresAt timekeeper.Millis
	// deadline is when the caller stops waiting.
	deadline timekeeper.Millis

	header       http.Header
	bufferedBody []byte
	// streamedBody is a body that exceeds the buffer, and bodyPrefix its buffered beginning.
	streamedBody io.Reader
	bodyPrefix   []byte
	// bodyRead means that a part of streamedBody was read for an attempt.
	bodyRead   bool
	bodyLength int64
	// fingerprint is the fingerprint of the request, or nil if it was not computed yet.
	fingerprint *quarantiner.Fingerprint
	// observation is what was known of the request as a suspect before its last attempt.
	observation quarantiner.Observation

	// attemptContext is the context of the last attempt.
	attemptContext context.Context
	// trail holds the connections over which this VM sent attempts to upstreams, and handedTo the
	// members that were handed one.
	trail    sender.Trail
	handedTo []*relayer.Helper
	// sentAgainst is the snapshot of the catalog when the last attempt was sent.
	sentAgainst *cataloger.Snapshot
	attempted   []cataloger.Incarnation
	// heldRetry is the service from whose budget the request holds a retry for its next attempt, ""
	// if it holds none.
	heldRetry resolver.ServiceName
	// misdirected is how many of the attempted incarnations had terminated: another one
	// responded in their place and ran nothing.
	misdirected int
	// unreached lists the upstreams that could not be dialled for the request.
	unreached []cataloger.Incarnation
	// refusedBy is the last upstream that stated that it did not run the request.
	refusedBy cataloger.Incarnation
	// helper is the member that the next attempt is handed over to, nil for a direct one, and
	// refusedHelpers those that did not take the request.
	helper         *relayer.Helper
	refusedHelpers []*relayer.Helper
	// helperNear means that helper was chosen since it is near the upstream, and skipNear that a
	// request was not answered over such a helper, so that further attempts don't use one.
	helperNear, skipNear bool
	// lostWithHelper is the upstream of the attempt that was lost with such a helper.
	lostWithHelper cataloger.Incarnation
	// sawDown means that an upstream considered for the attempt is not reached from here.
	sawDown bool
	// sawPause means that an upstream considered for the request wants a pause.
	sawPause bool
	// mayHaveRun means that an attempt may have run.
	mayHaveRun bool
	// chosen is the state of the upstream when it was chosen for the last attempt, and sentAt
	// the time of that attempt.
	chosen placer.State
	sentAt timekeeper.Millis
	// homePlacement is the home of the request's key and the reason for it.
	homePlacement assigner.Placement

	decision Decision
}

// reportDecision records the metrics of the request and calls OnDecision.
func (x *exchange) reportDecision() {
	x.settleToken()
	x.releaseRetry()
	e := &x.decision
	e.ID = x.r.Header.Get(x.d.Fields.RequestID)
	e.Elapsed = x.d.Clock.Now() - x.arrivedAt
	e.PipelineWait, e.SentAfter = x.pipelineWait, x.sentAfter
	e.ConfigLag = x.d.configLag()
	e.Attempts = len(x.attempted)
	x.d.measure(e)
	if x.d.OnDecision != nil {
		x.d.OnDecision(e)
	}
}

func (x *exchange) serve() {
	if !x.resolve() || !x.checkHeaderSize() || !x.setTimeLimits() || !x.readBody() {
		return
	}
	x.header = x.upstreamHeader()
	x.d.Retries.CountRequest(x.service)
	for {
		if x.refuseQuarantined() || !x.acquireToken() {
			return
		}
		u, verdict := x.chooseUpstream()
		if u == nil {
			x.giveUp(x.refusalReason(verdict))
			return
		}
		if x.send(u) {
			return
		}
		if reason := x.retryRefusal(); reason != "" {
			x.giveUp(reason)
			return
		}
	}
}

// resolve looks up the request in the configuration in force. It is called again before each
// attempt, since the configuration may change while a request waits.
func (x *exchange) resolve() bool {
	c := x.d.Config()
	if c == nil {
		x.refuseNotRun(http.StatusServiceUnavailable, "no configuration", unknownRetryAfter)
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
	x.service = x.route.Service(x.key)
	x.decision.Route, x.decision.Service, x.decision.Class = x.route.Name, string(x.service), x.route.Kind.String()
	x.decision.Objective = x.route.Objective
	return true
}

// pathOf returns the path as it was received, which is also what upstreams get.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// setKey sets the placement key from the caller's key, or from the request ID if there is
// none.
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

// checkHeaderSize refuses a request whose header exceeds the configured limit, and reports
// whether the request was accepted.
func (x *exchange) checkHeaderSize() bool {
	limit := x.config.Limits.HeaderBytes
	if limit == 0 {
		return true
	}
	n := int64(len(x.r.Method) + len(x.r.RequestURI))
	for name, values := range x.r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + headerFieldOverhead)
		}
	}
	if n <= limit {
		return true
	}
	x.deny(http.StatusRequestHeaderFieldsTooLarge, "head too large")
	return false
}

// setTimeLimits sets the request's time limits, refuses it if they leave no time, and reports
// whether it was accepted.
func (x *exchange) setTimeLimits() bool {
	x.deadline = x.arrivedAt + defaultTimeout
	if v := x.r.Header.Get(x.d.Fields.Deadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			x.refuseNotRun(http.StatusBadRequest, "bad deadline", 0)
			return false
		}
		x.deadline = x.arrivedAt + timekeeper.Millis(n)
	}
	x.expiresAt = x.deadline - responseMargin
	if t := x.route.Timeout; t > 0 {
		x.expiresAt = min(x.expiresAt, x.arrivedAt+t)
	}
	if at := x.d.stopsAt(); at > 0 && x.expiresAt+stopMargin > at {
		x.refuseNotRun(http.StatusServiceUnavailable, "stopping", 0)
		return false
	}
	return true
}

// readBody reads a short body into memory; a longer one is streamed. It reports false if the
// request was refused.
func (x *exchange) readBody() bool {
	x.bodyLength = x.r.ContentLength
	limit := x.config.Limits.BodyBytes
	if limit > 0 && x.bodyLength > limit {
		x.deny(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if x.bodyLength == 0 {
		return true
	}
	body := io.Reader(x.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	b, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	if err != nil {
		x.refuseNotRun(http.StatusBadRequest, "body not received whole", 0)
		return false
	}
	if len(b) < maxBufferedBody {
		x.bufferedBody = b
		return true
	}
	x.bodyPrefix = b
	x.streamedBody = io.MultiReader(bytes.NewReader(b), body)
	return true
}

// retryAfter returns the Retry-After time of a request that did not run.
func (x *exchange) retryAfter() timekeeper.Millis {
	after := fullRetryAfter
	switch {
	case len(x.attempted) > 0:
		after = refusedRetryAfter
	case x.d.isCut():
		after = advisor.SpreadReturn(cutRetryAfter)
	}
	if left := x.pauseLeft(); left > 0 {
		after = max(after, advisor.SpreadReturn(left))
	}
	return after
}

// refusalReason returns the reason of a request for which no upstream was chosen.
func (x *exchange) refusalReason(v placer.Verdict) string {
	if x.onlyKept() {
		return reasonNoneReached
	}
	return string(v)
}

// giveUp responds to a request that no upstream answered.
func (x *exchange) giveUp(reason string) {
	if x.r.Context().Err() != nil {
		x.finish(exchanger.Unknown, "caller left", 0)
		// The caller may still read: without a response, the connection must end.
		panic(http.ErrAbortHandler)
	}
	if x.decision.Status != 0 {
		return
	}
	reason = x.withPriorReason(reason)
	if !x.mayHaveRun {
		x.refuseNotRun(http.StatusServiceUnavailable, reason, x.retryAfter())
		return
	}
	status := http.StatusBadGateway
	if x.d.Clock.Now() >= x.expiresAt-minAttemptTime {
		status = http.StatusGatewayTimeout
	}
	x.failUnknown(status, reason)
}
