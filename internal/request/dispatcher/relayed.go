package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// minRelayed is how many requests of other members even the weakest VM takes at once.
const minRelayed = 16

// Reasons of relayer.Lost.
const (
	reasonConnectionLost = "connection lost"
	reasonSilent         = "upstream silent"
	reasonNoAnswer       = "no answer in time"
	reasonMalformed      = "malformed answer"
	reasonNoneReached    = "no upstream reached"
)

type (
	// RelayedRequest records what became of a request that another member handed over.
	RelayedRequest struct {
		ID string
		relayer.Call
		relayer.Result
		Status  int
		Elapsed timekeeper.Millis
	}

	// relayedExchange is the state of one request that another member handed over.
	relayedExchange struct {
		d         *Dispatcher
		w         http.ResponseWriter
		r         *http.Request
		arrivedAt timekeeper.Millis
		call      relayer.Call
		upstream  *cataloger.Upstream
		tracked   *tracker.Upstream
		// retryable means that the request may be sent again after it may have run.
		retryable bool
		record    RelayedRequest
	}
)

// ServeRelayed sends a request that another member handed over to the upstream that it names, and
// passes the response on. The other member has counted the attempt and decides on retries.
//
// A long body is read while the response is written, also by a goroutine that outlives the call for a
// moment. The server must allow that, as that of package pipeliner does.
func (d *Dispatcher) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	x := &relayedExchange{d: d, w: w, r: r, arrivedAt: d.Clock.Now()}
	x.record.ID = r.Header.Get(d.Fields.RequestID)
	defer x.report()
	defer d.relayed.Add(-1)
	inFlight := d.relayed.Add(1)
	call, err := relayer.ReadCall(r.Header)
	x.call, x.record.Call = call, call
	if err != nil {
		x.finish(relayer.Refused, relayer.ReasonMalformed)
		return
	}
	if reason := x.refusal(inFlight); reason != "" {
		x.finish(relayer.Refused, reason)
		return
	}
	x.tracked = d.Upstreams.StateOf(x.upstream)
	if call.Probe {
		x.finish(relayer.Probed, relayer.Reason(d.dialState(x.tracked, min(call.Time, probeTimeout))))
		return
	}
	x.send()
}

// ActiveRelayed returns the number of requests of other members in flight.
func (d *Dispatcher) ActiveRelayed() int64 {
	return d.relayed.Load()
}

// refusal returns why this member does not send the request, or "" if it does.
func (x *relayedExchange) refusal(inFlight int64) relayer.Reason {
	d := x.d
	switch {
	case d.Relay == nil || d.IsMember != nil && !d.IsMember(x.call.From, x.r.RemoteAddr):
		return relayer.ReasonNoMember
	case d.stopsAt() > 0:
		return relayer.ReasonLeaving
	case d.isCut():
		return relayer.ReasonCut
	case inFlight > int64(max(d.Strength, minRelayed)):
		return relayer.ReasonBusy
	}
	if x.upstream = d.Catalog().Usable(x.call.Upstream); x.upstream == nil || x.upstream.Service != x.call.Service {
		return relayer.ReasonNotUsable
	}
	if x.call.Probe {
		return ""
	}
	return x.configRefusal()
}

// configRefusal returns why the configuration in force here does not allow this member to send the
// request, or "" if it does.
func (x *relayedExchange) configRefusal() relayer.Reason {
	c := x.d.Config()
	if c == nil {
		return relayer.ReasonNotAllowed
	}
	route := c.Match(x.r.Host, pathOf(x.r))
	if route == nil || !route.Uses(x.call.Service) {
		return relayer.ReasonNotAllowed
	}
	x.retryable = route.Kind.Retryable()
	var organisation *authenticator.Organisation
	if name := x.organisationName(); name != "" {
		if organisation = c.Organisations.ByHash(hasher.OfString(name)); organisation == nil {
			return relayer.ReasonNotAllowed
		}
	}
	for _, region := range []string{x.d.Region, x.upstream.Site.Region()} {
		if !route.Allows(region) || !organisation.Allows(region) {
			return relayer.ReasonNotInRegion
		}
	}
	return ""
}

func (x *relayedExchange) organisationName() string {
	if f := x.d.Fields.Organisation; f != "" {
		return x.r.Header.Get(f)
	}
	return ""
}

// send sends the request and passes the response on.
func (x *relayedExchange) send() {
	t := x.tracked
	if t.State(x.upstream, &t.Direct).Down {
		x.finish(relayer.NotReached, "")
		return
	}
	q, err := x.newRequest()
	if err != nil {
		x.finish(relayer.Refused, relayer.ReasonMalformed)
		return
	}
	t.Begin(&t.Direct)
	defer t.End()
	began := x.d.Clock.Now()
	resp, abandoned, err := x.d.sendDirect(x.r.Context(), t, q, x.retryable && q.Stream == nil)
	switch {
	case abandoned && err != nil:
		x.finish(relayer.Lost, reasonNoneReached)
		return
	case err != nil:
		x.handleError(err)
		return
	}
	defer resp.Close()
	if x.d.Reach != nil {
		x.d.Reach.RecordResponse(x.upstream.Address, began)
	}
	x.learn(resp)
	x.forward(resp)
}

// newRequest returns the request to the upstream. It reads a short body, so that the upstream
// gets it with the head.
func (x *relayedExchange) newRequest() (*sender.Request, error) {
	f := x.d.Fields
	h := x.r.Header.Clone()
	relayer.RemoveFields(h)
	forwarder.RemoveHop(h)
	h.Del(f.Credential)
	left := max(x.arrivedAt+x.call.Time-x.d.Clock.Now(), 1)
	q := &sender.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Length: x.r.ContentLength,
		EchoField: f.RequestID, Echo: x.r.Header.Get(f.RequestID),
		MaxIdle: maxIdleForOnce,
		Fresh:   x.call.Again,
		Check:   x.maySendNow,
		OnHead:  x.recordAdvice,
	}
	if x.r.ContentLength != 0 {
		b, err := io.ReadAll(io.LimitReader(x.r.Body, maxBufferedBody))
		if err != nil {
			return nil, err
		}
		q.Buffered = b
		if len(b) == maxBufferedBody {
			q.Buffered, q.Stream = nil, io.MultiReader(bytes.NewReader(b), x.r.Body)
		}
	}
	if f.Deadline != "" {
		h[http.CanonicalHeaderKey(f.Deadline)] = []string{strconv.FormatInt(int64(left), 10)}
	}
	q.ConnDeadline = time.Now().Add(left.Duration())
	q.DialTimeout = min(dialTimeout, left)
	return q, nil
}

// maySendNow is called right before sending.
func (x *relayedExchange) maySendNow() bool {
	return x.d.Catalog().Usable(x.call.Upstream) != nil && x.tracked.PauseLeft() == 0
}

// recordAdvice records what a response announces about the upstream. The member that handed the
// request over reads it as well, and tells others.
func (x *relayedExchange) recordAdvice(status int, h http.Header) {
	a := advisor.Read(x.d.Fields.Leaving, status, h)
	if a.Leaving && x.d.MarkLeaving != nil {
		x.d.MarkLeaving(x.upstream.Departure())
	}
	if a.Pause > 0 {
		x.tracked.RecordPause(a.Pause)
	}
}

// handleError reports a request that got no response.
func (x *relayedExchange) handleError(err error) {
	if x.r.Context().Err() != nil {
		x.finish(relayer.Lost, "caller left")
		return
	}
	d, t := x.d, x.tracked
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
		x.finish(relayer.Refused, relayer.ReasonNotUsable)
	case errors.Is(err, sender.ErrNotSent) && d.Reach != nil && d.Reach.Doubtful():
		// This VM may be cut off, which tells nothing of the upstream.
		x.finish(relayer.Refused, relayer.ReasonCut)
	case errors.Is(err, sender.ErrNotSent):
		t.Direct.RecordDialFailure()
		x.finish(relayer.NotReached, "")
	case errors.Is(err, sender.ErrTimeout):
		t.Direct.RecordLoss()
		x.finish(relayer.Lost, reasonNoAnswer)
	case errors.Is(err, sender.ErrUnacknowledged):
		t.Direct.RecordDialFailure()
		if d.Reach != nil {
			d.Reach.RecordUnreached(x.upstream.Address)
		}
		x.finish(relayer.Lost, reasonSilent)
	case errors.Is(err, sender.ErrMalformed):
		t.Direct.RecordLoss()
		x.finish(relayer.Lost, reasonMalformed)
	default:
		t.Direct.RecordLoss()
		x.finish(relayer.Lost, reasonConnectionLost)
	}
}

// learn records what a response shows of the upstream.
func (x *relayedExchange) learn(resp *sender.Response) {
	f := x.d.Fields
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		x.tracked.MarkReplaced()
	case resp.Header.Get(f.NotRun) != "":
		x.tracked.Direct.RecordRefusal()
	default:
		x.tracked.Direct.RecordResponse(resp.Status >= http.StatusInternalServerError)
	}
	if v := resp.Header.Get(f.Load); v != "" && x.d.ParseLoad != nil {
		if report, ok := x.d.ParseLoad(v); ok {
			x.tracked.RecordLoad(report)
		}
	}
}

// forward passes a response on as it arrives, complete or visibly broken off.
func (x *relayedExchange) forward(resp *sender.Response) {
	h := x.w.Header()
	forwarder.RemoveHop(resp.Header)
	for n, v := range resp.Header {
		h[n] = v
	}
	relayer.RemoveFields(h)
	// The server must add nothing that the upstream did not send.
	for _, n := range []string{"Date", "Content-Type"} {
		if _, ok := h[n]; !ok {
			h[n] = nil
		}
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.record.Result, x.record.Status = relayer.Result{Outcome: relayer.Answered}, resp.Status
	x.record.Result.WriteTo(h)
	c := http.NewResponseController(x.w)
	// An error means that the connection is gone, which the first write reports as well.
	_ = c.SetWriteDeadline(time.Time{})
	x.w.WriteHeader(resp.Status)
	b := responseBuffers.Get().(*[responseBufferBytes]byte)
	defer responseBuffers.Put(b)
	for {
		n, err := resp.Read(b[:])
		if _, failed := x.w.Write(b[:n]); failed != nil {
			x.record.Reason = "caller left"
			return
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			x.record.Reason = "answer broke off"
			// Without the head, the other member could not tell a lost helper from this.
			_ = c.Flush()
			panic(http.ErrAbortHandler)
		}
		if c.Flush() != nil {
			return
		}
	}
}

// finish responds that there is no response of the upstream.
func (x *relayedExchange) finish(o relayer.Outcome, r relayer.Reason) {
	x.record.Result = relayer.Result{Outcome: o, Reason: r}
	h := x.w.Header()
	if f := x.d.Fields.RequestID; f != "" {
		h.Set(f, x.r.Header.Get(f))
	}
	x.record.Result.WriteTo(h)
	if x.d.stopsAt() > 0 {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(http.StatusServiceUnavailable)
}

func (x *relayedExchange) report() {
	x.record.Elapsed = x.d.Clock.Now() - x.arrivedAt
	x.d.Meter.Count("relayed_requests", measurer.Labels{Service: string(x.call.Service), Kind: string(x.record.Outcome)})
	if x.d.OnRelayed != nil && !x.call.Probe {
		x.d.OnRelayed(&x.record)
	}
}

// probeElsewhere asks another member for the state of an upstream. It returns "" if none knows.
func (d *Dispatcher) probeElsewhere(u *cataloger.Upstream, timeout timekeeper.Millis) UpstreamState {
	h := d.Relay.Choose(anyRegion, nil)
	if h == nil {
		return ""
	}
	return UpstreamState(d.Relay.Probe(context.Background(), h, u.Incarnation(), timeout))
}
