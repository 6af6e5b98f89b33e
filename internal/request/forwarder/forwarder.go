package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/connection/guarder"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/keykeeper"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// shortBody is up to how many bytes a body is read before a slot is asked
	// for. It can then be handed over with the head, and handed over again.
	shortBody = 16 << 10

	maxDeadline = 24 * timekeeper.Hour
)

type (
	// Forwarder forwards the requests of one daemon. Set the exported fields
	// before use.
	Forwarder struct {
		// Base lives as long as the process. Links that a request starts live
		// on with it.
		Base     context.Context
		Clock    timekeeper.Clock
		Self     func() registrar.Member
		Snapshot func() *steerer.Snapshot
		Owner    *pooler.Owner
		Links    *linker.Manager
		Meter    *measurer.Meter
		// Leaving tells that callers should not keep their connections.
		Leaving func() bool
		// Keys remembers the requests that carry a key.
		Keys *keykeeper.Keeper

		budgets  budgets
		sequence atomic.Uint64
		inFlight atomic.Int64
	}

	// Refusal is the body of an answer that the entry gives itself.
	Refusal struct {
		Outcome          string
		Reason           string
		Detail           string `json:",omitempty"`
		RetryAfterMillis timekeeper.Millis
	}

	// exchange is one request of a caller.
	exchange struct {
		forwarder *Forwarder
		writer    http.ResponseWriter
		request   *http.Request
		service   *resolver.Service
		began     time.Time
		started   bool
		flush     bool
		written   int64
	}
)

var errBodyTooLarge = errors.New("body over the limit of the service")

// InFlight returns how many requests are here now, from callers or links.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// ServeHTTP forwards one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{forwarder: f, writer: w, request: r, began: time.Now()}
	snapshot := f.Snapshot()
	if snapshot == nil {
		x.refuse(http.StatusServiceUnavailable, exchanger.Refused(exchanger.ReasonNoEntry, timekeeper.Second), "starting: no settings yet")
		return
	}
	c, ok := x.call(snapshot)
	if !ok {
		return
	}
	x.finish(f.runCall(r.Context(), c, x.service))
}

// runCall runs a call here or, when it carries a key, at the key's home.
func (f *Forwarder) runCall(ctx context.Context, c *exchanger.Call, s *resolver.Service) exchanger.Result {
	key := c.Header.Get(HeaderKey)
	if key == "" || s.Idempotent(c.Method) {
		return f.run(ctx, c, s)
	}
	return f.runKeyed(ctx, c, s, keykeeper.Key(key))
}

// Names tells whether a request names a service, so that its path is not ours.
func (f *Forwarder) Names(r *http.Request) bool {
	if r.Header.Get(HeaderService) != "" {
		return true
	}
	s := f.Snapshot()
	if s == nil {
		return false
	}
	_, ok := serviceOf(r, s)
	return ok
}

// RunLinked runs a call that came over a link.
func (f *Forwarder) RunLinked(ctx context.Context, c *exchanger.Call, relay bool) exchanger.Result {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if c.Look {
		return f.lookLinked(keykeeper.Key(c.Key))
	}
	if !relay {
		return f.Owner.Run(ctx, c)
	}
	snapshot := f.Snapshot()
	if snapshot == nil {
		return exchanger.Refused(exchanger.ReasonNoEntry, timekeeper.Second)
	}
	s := snapshot.Settings.At(c.Site, c.Service)
	if s == nil {
		return exchanger.Refused(exchanger.ReasonUnknownService, 0)
	}
	if c.Key != "" {
		// A key's home stands in for the entry: it may hand the call on.
		return f.runLinkedKey(ctx, c, s)
	}
	c.Relayed = true
	return f.run(ctx, c, s)
}

// call builds the call, or refuses the request.
func (x *exchange) call(s *steerer.Snapshot) (*exchanger.Call, bool) {
	r := x.request
	if guarder.TwoLengths(r) {
		return x.reject(http.StatusBadRequest, exchanger.ReasonBadRequest, "both Content-Length and Transfer-Encoding")
	}
	name, ok := serviceOf(r, s)
	if !ok {
		return x.reject(http.StatusNotFound, exchanger.ReasonUnknownService,
			fmt.Sprintf("neither %s %q nor host %q names a service", HeaderService, r.Header.Get(HeaderService), r.Host))
	}
	block, err := blockOf(r, s)
	if err != nil {
		return x.reject(http.StatusBadRequest, exchanger.ReasonBadRequest, err.Error())
	}
	x.service = s.Settings.At(block.Origin, name)
	site := s.Site(name, block)
	if at := s.Settings.At(site, name); at != nil {
		x.service = at
	}
	if x.service == nil || site == "" {
		return x.reject(http.StatusServiceUnavailable, exchanger.ReasonNoEntry, fmt.Sprintf("no site takes %s", name))
	}
	deadline, err := x.deadline()
	if err != nil {
		return x.reject(http.StatusBadRequest, exchanger.ReasonBadRequest, err.Error())
	}
	c := &exchanger.Call{
		Head: exchanger.Head{
			ID:       x.forwarder.nextID(),
			Service:  name,
			Site:     site,
			Origin:   block.Origin,
			Method:   r.Method,
			Target:   r.URL.RequestURI(),
			Host:     r.Host,
			Header:   requestHeader(r),
			Length:   r.ContentLength,
			Deadline: deadline,
		},
		Start:   x.start,
		Write:   x.write,
		Trailer: x.trailer,
	}
	return c, x.setBody(c)
}

func serviceOf(r *http.Request, s *steerer.Snapshot) (resolver.ServiceName, bool) {
	if h := r.Header.Get(HeaderService); h != "" {
		n := resolver.ServiceName(h)
		return n, s.Settings.Knows(n)
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	return s.Settings.ByHost(host)
}

func blockOf(r *http.Request, s *steerer.Snapshot) (locator.Block, error) {
	if h := r.Header.Get(HeaderBlock); h != "" {
		a, err := netip.ParseAddr(h)
		if err != nil {
			return locator.Block{}, fmt.Errorf("%s %q is not an IP number", HeaderBlock, h)
		}
		return s.Find(a), nil
	}
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return locator.Block{}, fmt.Errorf("no address of the caller: %w", err)
	}
	return s.Find(a.Addr()), nil
}

// deadline returns when the caller gives up, by the monotonic clock; 0 is
// never.
func (x *exchange) deadline() (timekeeper.Millis, error) {
	wait := x.service.Deadline
	if h := x.request.Header.Get(HeaderDeadline); h != "" {
		n, err := strconv.ParseInt(h, 10, 64)
		if err != nil || n <= 0 || timekeeper.Millis(n) > maxDeadline {
			return 0, fmt.Errorf("%s %q is not a time in milliseconds", HeaderDeadline, h)
		}
		wait = timekeeper.Millis(n)
	}
	if wait == 0 {
		return 0, nil
	}
	return x.forwarder.Clock.Now() + wait, nil
}

// setBody reads a short body and prepares to stream a long one.
func (x *exchange) setBody(c *exchanger.Call) bool {
	r := x.request
	most := x.service.MaxBody
	if r.ContentLength > most {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%d bytes, %s of %s is %d", r.ContentLength, resolver.KeyMaxBody, x.service.Name, most))
		return false
	}
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		c.Length = 0
		return true
	case r.ContentLength > shortBody:
		c.Body = r.Body
		return true
	}
	return x.readAhead(c, most)
}

// readAhead reads the first part of a body. If that is all, the body is short.
func (x *exchange) readAhead(c *exchanger.Call, most int64) bool {
	head, err := io.ReadAll(io.LimitReader(x.request.Body, min(shortBody, most)+1))
	if err != nil {
		x.reject(http.StatusBadRequest, exchanger.ReasonBody, "the body broke off")
		return false
	}
	if int64(len(head)) > most {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%s of %s is %d", resolver.KeyMaxBody, x.service.Name, most))
		return false
	}
	if len(head) <= shortBody {
		c.Short = head
		c.Length = int64(len(head))
		return true
	}
	c.Body = io.MultiReader(bytes.NewReader(head), &limitedBody{source: x.request.Body, left: most - int64(len(head))})
	return true
}

// limitedBody fails, unlike io.LimitReader, when there is more.
type limitedBody struct {
	source io.Reader
	left   int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.source.Read(p)
	if int64(n) > l.left {
		return int(l.left), errBodyTooLarge
	}
	l.left -= int64(n)
	return n, err
}

func (f *Forwarder) nextID() exchanger.RequestID {
	return exchanger.RequestID(string(f.Self().Incarnation) + "-" + strconv.FormatUint(f.sequence.Add(1), 36))
}

func (x *exchange) start(a exchanger.Answer) error {
	h := x.writer.Header()
	removeHop(a.Header)
	for n, v := range a.Header {
		h[n] = v
	}
	h.Set(HeaderOutcome, exchanger.Answered.String())
	h.Set(HeaderUpstream, a.Upstream)
	h.Set(HeaderEntry, x.forwarder.Self().Name)
	if a.Length >= 0 && h.Get("Content-Length") == "" && a.Status != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	if x.forwarder.Leaving() {
		h.Set("Connection", "close")
	}
	x.flush = a.Length < 0
	x.started = true
	x.writer.WriteHeader(a.Status)
	return nil
}

func (x *exchange) write(p []byte) error {
	n, err := x.writer.Write(p)
	x.written += int64(n)
	if err != nil {
		return err
	}
	if x.flush {
		return http.NewResponseController(x.writer).Flush()
	}
	return nil
}

func (x *exchange) trailer(t http.Header) {
	for n, v := range t {
		x.writer.Header()[http.TrailerPrefix+n] = v
	}
}

// finish ends the exchange as the result says.
func (x *exchange) finish(r exchanger.Result) {
	x.observe(r)
	if x.started {
		if !r.Whole {
			// Closing the connection is how HTTP/1.1 says that an answer is
			// broken. What there is of it goes first: without its head the
			// caller could not tell a broken answer from none.
			_ = http.NewResponseController(x.writer).Flush()
			panic(http.ErrAbortHandler)
		}
		return
	}
	x.writeRefusal(statusOf(r), r, "")
}

func statusOf(r exchanger.Result) int {
	switch r.Reason {
	case exchanger.ReasonDeadline:
		return http.StatusGatewayTimeout
	case exchanger.ReasonBadRequest:
		return http.StatusBadRequest
	case exchanger.ReasonUnknownService:
		return http.StatusNotFound
	case exchanger.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case exchanger.ReasonNotKept:
		return http.StatusGone
	}
	if r.Outcome == exchanger.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (x *exchange) reject(status int, reason exchanger.Reason, detail string) (*exchanger.Call, bool) {
	x.refuse(status, exchanger.Refused(reason, 0), detail)
	return nil, false
}

func (x *exchange) refuse(status int, r exchanger.Result, detail string) {
	x.observe(r)
	x.writeRefusal(status, r, detail)
}

func (x *exchange) writeRefusal(status int, r exchanger.Result, detail string) {
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, r.Outcome.String())
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderEntry, x.forwarder.Self().Name)
	if r.Upstream != "" {
		h.Set(HeaderUpstream, r.Upstream)
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64(r.RetryAfter), 10))
		seconds := (r.RetryAfter + timekeeper.Second - 1) / timekeeper.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	x.writer.WriteHeader(status)
	_ = json.NewEncoder(x.writer).Encode(Refusal{
		Outcome:          r.Outcome.String(),
		Reason:           string(r.Reason),
		Detail:           detail,
		RetryAfterMillis: r.RetryAfter,
	})
}

func (x *exchange) observe(r exchanger.Result) {
	l := measurer.Labels{Kind: r.Outcome.String()}
	if x.service != nil {
		l.Service = string(x.service.Name)
		l.Class = string(x.service.Class)
	}
	m := x.forwarder.Meter
	m.Observe("request_seconds", l, time.Since(x.began))
	if r.Reason != exchanger.ReasonNone {
		l.Kind = string(r.Reason)
		m.Count("request_reasons", l)
	}
}

func (f *Forwarder) count(name string, c *exchanger.Call, kind string) {
	f.Meter.Count(name, measurer.Labels{Service: string(c.Service), Kind: kind})
}
