package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/keykeeper"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const maxDeadline = 24 * timekeeper.Hour

type (
	// Forwarder forwards the requests of one daemon. The exported fields must be set before
	// use.
	Forwarder struct {
		// Base is done when the process stops. Links that are opened for a request use it,
		// since they outlive the request.
		Base     context.Context
		Clock    timekeeper.Clock
		Self     func() registrar.Member
		Snapshot func() *steerer.Snapshot
		Owner    *pooler.Owner
		Links    *linker.Manager
		Meter    *measurer.Meter
		// Leaving reports whether callers should close their connections because the daemon is
		// stopping.
		Leaving func() bool
		// Quarantine tracks requests that crash their upstreams and refuses those in
		// quarantine. Nil disables it.
		Quarantine *quarantiner.Quarantiner
		// Keys remembers the requests that carry an idempotency key.
		Keys *keykeeper.Keeper
		// MostInFlight bounds the requests in flight; 0 means DefaultMostInFlight.
		MostInFlight int64

		budgets      budgets
		siteBackOffs siteBackOffs
		sequence     atomic.Uint64
		inFlight     atomic.Int64
	}

	// exchange is the state of one request of a caller.
	exchange struct {
		forwarder      *Forwarder
		writer         http.ResponseWriter
		request        *http.Request
		service        *resolver.Service
		arrivedAt      time.Time
		started        bool
		flushEachWrite bool
		written        int64
	}
)

// InFlight returns the number of requests in flight, both from callers and over links.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// ServeHTTP forwards one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{forwarder: f, writer: w, request: r, arrivedAt: time.Now()}
	snapshot := f.Snapshot()
	if snapshot == nil {
		x.refuse(http.StatusServiceUnavailable, exchanger.Refused(exchanger.ReasonNoEntry, timekeeper.Second), "starting: no settings yet")
		return
	}
	c, ok := x.newCall(snapshot)
	if !ok {
		return
	}
	x.finish(f.runCall(r.Context(), c, x.service))
}

// runCall runs a call here or, if it carries a key and is not idempotent, at the key's home.
func (f *Forwarder) runCall(ctx context.Context, c *exchanger.Call, s *resolver.Service) exchanger.Result {
	key := c.Header.Get(HeaderKey)
	if key == "" || s.Idempotent(c.Method) {
		return f.run(ctx, c, s)
	}
	return f.runKeyed(ctx, c, s, keykeeper.Key(key))
}

// SelectsService reports whether a request selects a service, by header or by host. Its path is
// then not one of the daemon's own.
func (f *Forwarder) SelectsService(r *http.Request) bool {
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
	if c.LookupOnly {
		return f.lookUpLinked(keykeeper.Key(c.Key))
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
		// A key's home acts in place of the entry: it may hand the call on.
		return f.runLinkedKey(ctx, c, s)
	}
	c.Relayed = true
	return f.run(ctx, c, s)
}

// MayOverlap reports whether a request may be handled concurrently with others of its
// connection. Only requests that their service declares idempotent may.
func (f *Forwarder) MayOverlap(r *http.Request) bool {
	s := f.Snapshot()
	if s == nil {
		return false
	}
	name, ok := serviceOf(r, s)
	if !ok {
		return false
	}
	block, err := blockOf(r, s)
	if err != nil {
		return false
	}
	service := s.Settings.At(block.Origin, name)
	return service != nil && service.Idempotent(r.Method)
}

// newCall builds the call for the request. It reports false if it refused the request.
func (x *exchange) newCall(s *steerer.Snapshot) (*exchanger.Call, bool) {
	r := x.request
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
	if x.shedIfFull() {
		return nil, false
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
		FirstAttempt: r.Header.Get(HeaderFirstTry) != "",
		Start:        x.writeHead,
		Write:        x.writeBody,
		Trailer:      x.writeTrailer,
	}
	return c, x.setBody(c)
}

func serviceOf(r *http.Request, s *steerer.Snapshot) (resolver.ServiceName, bool) {
	if h := r.Header.Get(HeaderService); h != "" {
		n := resolver.ServiceName(h)
		return n, s.Settings.HasService(n)
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	return s.Settings.ServiceByHost(host)
}

func blockOf(r *http.Request, s *steerer.Snapshot) (locator.Block, error) {
	if h := r.Header.Get(HeaderBlock); h != "" {
		a, err := netip.ParseAddr(h)
		if err != nil {
			return locator.Block{}, fmt.Errorf("%s %q is not an IP number", HeaderBlock, h)
		}
		return s.BlockOf(a), nil
	}
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return locator.Block{}, fmt.Errorf("no address of the caller: %w", err)
	}
	return s.BlockOf(a.Addr()), nil
}

// deadline returns when the caller stops waiting, by the monotonic clock; 0 means never.
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

func (f *Forwarder) nextID() exchanger.RequestID {
	return exchanger.RequestID(string(f.Self().Incarnation) + "-" + strconv.FormatUint(f.sequence.Add(1), 36))
}

func (f *Forwarder) count(name string, c *exchanger.Call, kind string) {
	f.Meter.Count(name, measurer.Labels{Service: string(c.Service), Kind: kind})
}
