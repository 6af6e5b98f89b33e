package pooler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

// upkeepInterval is how often ramp-up, the end of back-offs and due probes are checked.
const upkeepInterval = 50 * time.Millisecond

type (
	// Key identifies a pool.
	Key struct {
		Site    registrar.Site
		Service resolver.ServiceName
	}

	// PoolConfig describes one pool: its settings and the addresses of the upstreams to own.
	PoolConfig struct {
		Settings  *resolver.Service
		Upstreams []string
	}

	// Admission is called right before a call is sent. It reports whether the call is
	// refused, and returns the refusal.
	Admission func(*exchanger.Call) (exchanger.Result, bool)

	// Owner holds the pools of one daemon. The zero value has no pools.
	Owner struct {
		Clock timekeeper.Clock
		// Dial opens a connection to an upstream. Nil means TCP with dialTimeout.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Valid reports whether this daemon may send to upstreams. Nil means
		// always.
		Valid func() bool
		// Admit is called right before a call is sent. Nil admits all calls.
		Admit Admission
		// Changed, if not nil, is called when the number of free slots of a pool
		// may have changed. It must not block.
		Changed func(Key)
		// Probed, if not nil, is called after each probe.
		Probed func(k Key, upstream string, ok bool)

		lock sync.RWMutex
		// leaving holds the IP addresses of leaving VMs.
		leaving map[string]bool
		pools   map[Key]*Pool
		// announced holds what upstreams announced. It outlasts their pools.
		announced announcements
		// probes holds the time of the next probe by the address of the upstream.
		probes map[string]timekeeper.Millis
	}
)

// SetUpstreams makes the owner own exactly the given upstreams. A new one is unclaimed
// and gets no requests until Claimed confirms that no other daemon sends to it.
// SetUpstreams returns the addresses that are unclaimed.
func (o *Owner) SetUpstreams(wanted map[Key]PoolConfig) []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.pools == nil {
		o.pools = map[Key]*Pool{}
		o.probes = map[string]timekeeper.Millis{}
	}
	var unclaimed []string
	for k, w := range wanted {
		p := o.pools[k]
		if p == nil {
			p = newPool(o, w.Settings, func() { o.changed(k) })
			o.pools[k] = p
		}
		unclaimed = append(unclaimed, p.set(w)...)
		p.setLeavingVMs(o.leaving)
	}
	for k, p := range o.pools {
		if _, ok := wanted[k]; !ok {
			p.set(PoolConfig{Settings: p.settings})
		}
	}
	o.forgetAnnouncements()
	return unclaimed
}

// forgetAnnouncements drops the announcements of upstreams that are no longer owned. The caller
// holds the lock.
func (o *Owner) forgetAnnouncements() {
	owned := map[string]bool{}
	for _, p := range o.pools {
		p.lock.Lock()
		for _, u := range p.upstreams {
			owned[u.address] = true
		}
		p.lock.Unlock()
	}
	o.announced.forget(owned, o.Clock.Now())
}

func (o *Owner) dialer() dialer {
	if o.Dial == nil {
		return dialTCP
	}
	return o.Dial
}

func (p *Pool) set(w PoolConfig) []string {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.settings = w.Settings
	current := map[string]*upstream{}
	for _, u := range p.upstreams {
		u.removed = true
		current[u.address] = u
	}
	var unclaimed []string
	for _, a := range w.Upstreams {
		u := current[a]
		if u == nil {
			u = p.newUpstream(a)
			p.upstreams = append(p.upstreams, u)
		}
		u.removed = false
		u.resize(w.Settings.Slots, p.dial)
		if !u.claimed {
			unclaimed = append(unclaimed, a)
		}
	}
	for _, u := range p.upstreams {
		// Another daemon may have claimed a removed upstream. To own it again, this
		// daemon must claim it again.
		u.claimed = u.claimed && !u.removed
	}
	p.prune()
	p.grantSlots()
	return unclaimed
}

// Claimed records that the former owners of an upstream have stopped sending to
// it and still have busy requests in flight there.
func (o *Owner) Claimed(address string, busy int) {
	o.forEach(address, func(p *Pool, u *upstream) {
		if u.removed {
			return
		}
		if !u.claimed {
			u.upSince = p.clock.Now()
		}
		u.claimed = true
		u.formerBusy = busy
		p.grantSlots()
	})
}

// Release stops sending to an upstream until it is claimed again, and returns how
// many requests this daemon still has in flight there.
func (o *Owner) Release(address string) int {
	busy := 0
	o.forEach(address, func(_ *Pool, u *upstream) {
		u.claimed = false
		busy += u.busy
	})
	return busy
}

// SetLeaving sets the IP addresses of leaving VMs. Upstreams there get no new
// requests, even if they do not announce that they drain.
func (o *Owner) SetLeaving(addresses map[string]bool) {
	o.lock.Lock()
	o.leaving = addresses
	o.lock.Unlock()
	for k, p := range o.snapshot() {
		p.setLeavingVMs(addresses)
		o.changed(k)
	}
}

func (p *Pool) setLeavingVMs(addresses map[string]bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, u := range p.upstreams {
		host, _, _ := net.SplitHostPort(u.address)
		u.vmLeaving = addresses[host]
	}
	p.grantSlots()
}

// forEach calls f for each upstream with the address, holding the lock of its pool.
func (o *Owner) forEach(address string, f func(*Pool, *upstream)) {
	for k, p := range o.snapshot() {
		p.lock.Lock()
		found := false
		for _, u := range p.upstreams {
			if u.address == address {
				f(p, u)
				found = true
			}
		}
		p.lock.Unlock()
		if found {
			o.changed(k)
		}
	}
}

// Run sends a call to an upstream of the pool of its service and site.
func (o *Owner) Run(ctx context.Context, c *exchanger.Call) exchanger.Result {
	o.lock.RLock()
	p := o.pools[Key{c.Site, c.Service}]
	o.lock.RUnlock()
	if p == nil {
		return exchanger.Refused(exchanger.ReasonNotOwner, 0)
	}
	return p.Run(ctx, c, o.valid, o.admit)
}

// KeyOf returns the key of the pool in which a call needs a slot.
func KeyOf(c *exchanger.Call) Key {
	return Key{Site: c.Site, Service: c.Service}
}

// Free returns the free slots and all usable slots of a pool. See Pool.Free.
func (o *Owner) Free(k Key) (free, slots int) {
	o.lock.RLock()
	p := o.pools[k]
	o.lock.RUnlock()
	if p == nil {
		return 0, 0
	}
	return p.Free()
}

// Pools returns a copy of the map of pools.
func (o *Owner) Pools() map[Key]*Pool {
	return o.snapshot()
}

func (o *Owner) snapshot() map[Key]*Pool {
	o.lock.RLock()
	defer o.lock.RUnlock()
	out := make(map[Key]*Pool, len(o.pools))
	for k, p := range o.pools {
		out[k] = p
	}
	return out
}

func (o *Owner) valid() bool {
	return o.Valid == nil || o.Valid()
}

func (o *Owner) admit(c *exchanger.Call) (exchanger.Result, bool) {
	if o.Admit == nil {
		return exchanger.Result{}, false
	}
	return o.Admit(c)
}

func (o *Owner) changed(k Key) {
	if o.Changed != nil {
		o.Changed(k)
	}
}

// RunUpkeep handles ramp-up, the end of back-offs and probes until ctx is done.
func (o *Owner) RunUpkeep(ctx context.Context) {
	timekeeper.Every(ctx, upkeepInterval, func() { o.upkeep(ctx) })
}

func (o *Owner) upkeep(ctx context.Context) {
	for k, p := range o.snapshot() {
		before, _ := p.Free()
		for _, u := range p.dueProbes(o.probes) {
			go o.runProbe(ctx, k, p, u)
		}
		p.lock.Lock()
		p.grantSlots()
		p.lock.Unlock()
		if after, _ := p.Free(); after != before {
			o.changed(k)
		}
	}
}

// dueProbes returns the upstreams whose probe is due and schedules their next one in
// probes.
func (p *Pool) dueProbes(probes map[string]timekeeper.Millis) []*upstream {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock.Now()
	var out []*upstream
	for _, u := range p.upstreams {
		if u.removed || !u.claimed || now < probes[u.address] || u.announced.isPaused(now) {
			continue
		}
		probes[u.address] = now + p.settings.ProbeInterval
		out = append(out, u)
	}
	return out
}

// runProbe sends a health check to one upstream. A probe only supplements what
// responses show: it marks an upstream as draining or as back, and never clears
// the back-off of a failed dial early.
func (o *Owner) runProbe(ctx context.Context, k Key, p *Pool, u *upstream) {
	p.lock.Lock()
	s := p.settings
	p.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.ProbeInterval.Duration())
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.address+s.ProbePath, http.NoBody)
	if err != nil {
		return
	}
	began := p.clock.Now()
	r, err := verifier.RoundTrip(q, u.probeTransport.RoundTrip)
	ok := err == nil && r.StatusCode < http.StatusInternalServerError
	if err == nil {
		p.recordResponse(u, began, r)
		discard(r)
	} else if ctx.Err() == nil {
		p.markDown(u)
	}
	if o.Probed != nil {
		o.Probed(k, u.address, ok)
	}
	o.changed(k)
}

// isLeaving reports whether u is expected to terminate or is no longer owned.
func (p *Pool) isLeaving(u *upstream) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return u.leaving() || u.removed
}

// markDown starts a back-off of u unless it is in back-off already.
func (p *Pool) markDown(u *upstream) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.clock.Now() >= u.downUntil {
		u.startBackOff(p.clock.Now())
		p.grantSlots()
	}
}

// recordResponse records what a response of u to a request that began at some time says about u,
// and resets the back-off after a healthy one, which is any but a server error. An upstream that
// drained and no longer announces it is back, with a new ramp-up.
func (p *Pool) recordResponse(u *upstream, began timekeeper.Millis, r *http.Response) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock.Now()
	if r.StatusCode < http.StatusInternalServerError {
		u.resetBackOff()
	}
	a := advisor.Read(p.settings.DrainHeader, r.StatusCode, r.Header)
	if u.announced.record(a, began, now) {
		u.upSince = now
	}
	if a != (advisor.Advice{}) {
		// Requests that wait for a slot of u may have none left to wait for.
		p.grantSlots()
	}
}

// transportOf returns the transport for requests to u, which resize may replace.
func (p *Pool) transportOf(u *upstream) *http.Transport {
	p.lock.Lock()
	defer p.lock.Unlock()
	return u.requestTransport
}

func (p *Pool) refusalHeader() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.settings.RefusalHeader
}
