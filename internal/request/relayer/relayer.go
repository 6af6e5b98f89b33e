package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// avoidPeriod is how long a helper that was not reached, or refused, gets no requests.
	avoidPeriod = 500 * timekeeper.Millis(1)

	// helperKeepAlive is how long an idle connection to a helper is kept. Members close none, so
	// that a request can't meet a close but that of a process which ends.
	helperKeepAlive = 30 * timekeeper.Second

	// provenPeriod is how long a helper that reached an upstream is preferred, and provenWeight
	// how much: several VMs may be cut at once, and tell others a moment later.
	provenPeriod = 2 * timekeeper.Second
	provenWeight = 16
)

type (
	// Relayer chooses helpers and hands requests over to them. Self, Members and Dial must be set
	// before use.
	Relayer struct {
		// Self returns the current description of this member, Members the living ones.
		Self    func() heartbeater.Member
		Members func() []heartbeater.Member
		// Dial opens a connection to the internal address of a member.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Count, if not nil, counts the bytes of all connections.
		Count sender.Counter
		Clock timekeeper.Clock

		lock sync.Mutex
		// helpers are the members that got requests, by their incarnations.
		helpers map[uint64]*Helper
		// near are the members chosen for sites of other regions.
		near map[registrar.Site]nearChoice
	}

	// nearChoice is a member chosen for a site, nil for none, until some time.
	nearChoice struct {
		helper *Helper
		until  timekeeper.Millis
	}

	// Helper is a member that reaches upstreams, as seen by this one.
	Helper struct {
		heartbeater.Member
		pool *sender.Pool

		clock    timekeeper.Clock
		lock     sync.Mutex
		inFlight int
		// quietSince is when the helper was last heard of, or got a request while it had none.
		quietSince   timekeeper.Millis
		avoidedUntil timekeeper.Millis
		provenUntil  timekeeper.Millis
	}
)

// Choose returns a helper for a request that may be handled in the regions for which allowed
// returns true, or nil if there is none. Members of this member's region come first; among them
// the strong and the less busy get more. excluded are not chosen.
func (r *Relayer) Choose(allowed func(region string) bool, excluded []*Helper) *Helper {
	self := r.Self()
	var near, far []*Helper
	for _, m := range r.Members() {
		if m.Name == self.Name || !m.Relays || m.Cut || m.Leaving || !allowed(m.Site.Region()) {
			continue
		}
		h := r.helper(m)
		switch {
		case h.avoided() || slices.Contains(excluded, h):
		case m.Site.Region() == self.Site.Region():
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near) > 0 {
		return pick(near)
	}
	return pick(far)
}

// pick returns a random helper with a probability in proportion to its weight.
func pick(list []*Helper) *Helper {
	sum := 0.0
	weights := make([]float64, len(list))
	for i, h := range list {
		weights[i] = h.weight()
		sum += weights[i]
	}
	at := rand.Float64() * sum
	for i, h := range list {
		if at -= weights[i]; at < 0 {
			return h
		}
	}
	if len(list) > 0 {
		return list[0]
	}
	return nil
}

// helper returns the state of a member as a helper.
func (r *Relayer) helper(m heartbeater.Member) *Helper {
	r.lock.Lock()
	defer r.lock.Unlock()
	if h := r.helpers[m.Incarnation]; h != nil {
		return h
	}
	if r.helpers == nil {
		r.helpers = map[uint64]*Helper{}
	}
	h := &Helper{Member: m, clock: r.Clock}
	h.pool = &sender.Pool{Address: m.Beats, Dial: r.Dial, Clock: r.Clock, Count: r.counter(h), KeepAlive: helperKeepAlive}
	r.helpers[m.Incarnation] = h
	return h
}

// counter returns a counter of the bytes of a helper's connections, which also records that it was
// heard of.
func (r *Relayer) counter(h *Helper) sender.Counter {
	return func(sent, received int64) {
		if received > 0 {
			h.recordHeard()
		}
		if r.Count != nil {
			r.Count(sent, received)
		}
	}
}

// Sweep closes connections whose keep-alive time is over and forgets helpers that are no longer
// members.
func (r *Relayer) Sweep() {
	alive := map[uint64]bool{}
	for _, m := range r.Members() {
		alive[m.Incarnation] = true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for i, h := range r.helpers {
		if !alive[i] {
			h.pool.Close()
			delete(r.helpers, i)
			continue
		}
		h.pool.Sweep()
	}
}

// Close closes the connections to helpers, each one in use after its request.
func (r *Relayer) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, h := range r.helpers {
		h.pool.Close()
	}
}

// Do hands a request over to a helper. The errors are those of sender.Pool.Do and concern the
// connection to the helper: with sender.ErrNotSent the request reached nobody, and with others it
// may have run. On success the result tells what became of the request.
func (r *Relayer) Do(ctx context.Context, h *Helper, c Call, q *sender.Request) (*sender.Response, Result, error) {
	c.From = r.Self().Name
	// Members don't close idle connections, so that none is too old for a request that must not run
	// twice.
	q.MaxIdle = 0
	q.Header = q.Header.Clone()
	c.WriteTo(q.Header)
	h.begin()
	resp, err := h.pool.Do(ctx, q)
	h.end()
	if err != nil {
		return nil, Result{}, err
	}
	result := ReadResult(resp.Header)
	RemoveFields(resp.Header)
	switch result.Outcome {
	case Answered, Lost:
		h.recordProven()
	}
	return resp, result, nil
}

// Probe asks a helper to connect to an upstream. It returns the state that the helper found, or ""
// if it found none.
func (r *Relayer) Probe(ctx context.Context, h *Helper, u cataloger.Incarnation, timeout timekeeper.Millis) Reason {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	q := &sender.Request{
		Method: http.MethodGet, Target: "/", Host: h.Beats, Header: http.Header{},
		ConnDeadline: time.Now().Add(timeout.Duration()), DialTimeout: timeout,
	}
	resp, result, err := r.Do(ctx, h, Call{Upstream: u, Time: timeout, Probe: true}, q)
	if err != nil {
		return ""
	}
	resp.Close()
	if result.Outcome != Probed {
		return ""
	}
	return result.Reason
}

func (h *Helper) begin() {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.inFlight == 0 {
		h.quietSince = h.clock.Now()
	}
	h.inFlight++
}

func (h *Helper) end() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.inFlight--
}

// recordHeard records that bytes of the helper arrived.
func (h *Helper) recordHeard() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.quietSince = h.clock.Now()
}

// heardSince reports whether bytes of the helper, which has a request, arrived after a time.
func (h *Helper) heardSince(t timekeeper.Millis) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.quietSince > t
}

// Avoid keeps the helper from further requests for a while.
func (h *Helper) Avoid() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.avoidedUntil, h.provenUntil = h.clock.Now()+avoidPeriod, 0
}

func (h *Helper) avoided() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.clock.Now() < h.avoidedUntil
}

func (h *Helper) recordProven() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.provenUntil = h.clock.Now() + provenPeriod
}

// weight returns the helper's weight in the choice: its strength for each request that it has.
func (h *Helper) weight() float64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	w := float64(max(h.Strength, 1)) / float64(h.inFlight+1)
	if h.clock.Now() < h.provenUntil {
		w *= provenWeight
	}
	return w
}
