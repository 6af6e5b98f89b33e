package pooler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// tick is how often ramps, returns from back-off and probes are looked at.
const tick = 50 * time.Millisecond

type (
	// Key names a pool.
	Key struct {
		Site    registrar.Site
		Service resolver.ServiceName
	}

	// Owned is the upstreams that the owner is to have in one pool.
	Owned struct {
		Settings  *resolver.Service
		Upstreams []string
	}

	// Admission tells right before a call is sent whether it may not go, and its result then.
	Admission func(*exchanger.Call) (exchanger.Result, bool)

	// Owner holds the pools of one daemon. The zero value owns nothing.
	Owner struct {
		Clock timekeeper.Clock
		// Dial opens a connection to an upstream. Nil means over TCP, within
		// dialTimeout.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Valid tells whether this daemon may send to upstreams. Nil means
		// always.
		Valid func() bool
		// Admit is asked right before a call is sent. Nil admits all.
		Admit Admission
		// Changed is called when the free slots of a pool changed. It must not
		// block. Nil means nobody wants to know.
		Changed func(Key)
		// Probed is called after each probe. Nil means nobody wants to know.
		Probed func(k Key, upstream string, ok bool)

		lock    sync.RWMutex
		leaving map[string]bool
		pools   map[Key]*Pool
		probes  map[string]timekeeper.Millis
	}
)

// Set makes the owner have exactly the given upstreams. One that it did not
// have is unclaimed until Claimed says that nobody else sends to it. It returns
// the addresses that are new.
func (o *Owner) Set(wanted map[Key]Owned) []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.pools == nil {
		o.pools = map[Key]*Pool{}
		o.probes = map[string]timekeeper.Millis{}
	}
	var fresh []string
	for k, w := range wanted {
		p := o.pools[k]
		if p == nil {
			p = newPool(o.Clock, w.Settings, o.dialer(), func() { o.changed(k) })
			o.pools[k] = p
		}
		fresh = append(fresh, p.set(w)...)
		p.setListed(o.leaving)
	}
	for k, p := range o.pools {
		if _, ok := wanted[k]; !ok {
			p.set(Owned{Settings: p.settings})
		}
	}
	return fresh
}

func (o *Owner) dialer() dialer {
	if o.Dial == nil {
		return dialTCP
	}
	return o.Dial
}

func (p *Pool) set(w Owned) []string {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.settings = w.Settings
	have := map[string]*upstream{}
	for _, u := range p.upstreams {
		u.removed = true
		have[u.address] = u
	}
	var fresh []string
	for _, a := range w.Upstreams {
		u := have[a]
		if u == nil {
			u = newUpstream(a, w.Settings.Slots, p.clock.Now(), p.dial)
			p.upstreams = append(p.upstreams, u)
		}
		u.removed = false
		u.resize(w.Settings.Slots, p.dial)
		if !u.claimed {
			fresh = append(fresh, a)
		}
	}
	for _, u := range p.upstreams {
		// Whoever owns it now will have asked for it. To own it again takes
		// another claim.
		u.claimed = u.claimed && !u.removed
	}
	p.prune()
	p.serve()
	return fresh
}

// Claimed tells that the former owners of an upstream have stopped sending to
// it, with busy requests still there.
func (o *Owner) Claimed(address string, busy int) {
	o.each(address, func(p *Pool, u *upstream) {
		if u.removed {
			return
		}
		if !u.claimed {
			u.upSince = p.clock.Now()
		}
		u.claimed = true
		u.elsewhere = busy
		p.serve()
	})
}

// Release stops sending to an upstream for good, until it is claimed anew, and
// returns how many requests this daemon still has there.
func (o *Owner) Release(address string) int {
	busy := 0
	o.each(address, func(_ *Pool, u *upstream) {
		u.claimed = false
		busy += u.busy
	})
	return busy
}

// SetLeaving tells the IP numbers of VMs that leave. Upstreams there get nothing
// new, whatever they say themselves.
func (o *Owner) SetLeaving(addresses map[string]bool) {
	o.lock.Lock()
	o.leaving = addresses
	o.lock.Unlock()
	for k, p := range o.snapshot() {
		p.setListed(addresses)
		o.changed(k)
	}
}

func (p *Pool) setListed(addresses map[string]bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, u := range p.upstreams {
		host, _, _ := net.SplitHostPort(u.address)
		u.listed = addresses[host]
	}
	p.serve()
}

// each calls f under the pool's lock for the upstream with the address.
func (o *Owner) each(address string, f func(*Pool, *upstream)) {
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

// Run runs a call on the pool of its service and site.
func (o *Owner) Run(ctx context.Context, c *exchanger.Call) exchanger.Result {
	o.lock.RLock()
	p := o.pools[Key{c.Site, c.Service}]
	o.lock.RUnlock()
	if p == nil {
		return exchanger.Refused(exchanger.ReasonNotOwner, 0)
	}
	return p.Run(ctx, c, o.valid, o.admit)
}

// KeyOf is the key of the pool that a call needs a slot of.
func KeyOf(c *exchanger.Call) Key {
	return Key{Site: c.Site, Service: c.Service}
}

// Free returns the free slots and slots of a pool.
func (o *Owner) Free(k Key) (free, slots int) {
	o.lock.RLock()
	p := o.pools[k]
	o.lock.RUnlock()
	if p == nil {
		return 0, 0
	}
	return p.Free()
}

// Pools returns the pools there are.
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

// RunUpkeep sees to ramps, returns from back-off and probes until ctx ends.
func (o *Owner) RunUpkeep(ctx context.Context) {
	timekeeper.Every(ctx, tick, func() { o.upkeep(ctx) })
}

func (o *Owner) upkeep(ctx context.Context) {
	for k, p := range o.snapshot() {
		before, _ := p.Free()
		for _, u := range p.due(o.probes) {
			go o.runProbe(ctx, k, p, u)
		}
		p.lock.Lock()
		p.serve()
		p.lock.Unlock()
		if after, _ := p.Free(); after != before {
			o.changed(k)
		}
	}
}

// due returns the upstreams whose probe is due and notes the next time.
func (p *Pool) due(probes map[string]timekeeper.Millis) []*upstream {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock.Now()
	var out []*upstream
	for _, u := range p.upstreams {
		if u.removed || !u.claimed || now < probes[u.address] {
			continue
		}
		probes[u.address] = now + p.settings.ProbeInterval
		out = append(out, u)
	}
	return out
}

// runProbe asks one upstream for its health. A probe may only add to what
// answers say: it marks an upstream as leaving or as back, never as healthy
// against a failed dial.
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
	r, err := u.probes.RoundTrip(q)
	ok := err == nil && r.StatusCode < http.StatusInternalServerError
	if err == nil {
		leaving := r.Header.Get(s.DrainHeader) != ""
		p.observe(u, leaving, ok)
		discard(r)
	} else if ctx.Err() == nil {
		p.markDown(u)
	}
	if o.Probed != nil {
		o.Probed(k, u.address, ok)
	}
	o.changed(k)
}

// leaves tells whether u was to end anyway.
func (p *Pool) leaves(u *upstream) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return u.leaving || u.listed || u.removed
}

// markDown takes u out of use until its back-off ends.
func (p *Pool) markDown(u *upstream) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.clock.Now() >= u.downUntil {
		u.fail(p.clock.Now())
		p.serve()
	}
}

// observe notes an answer of u, and whether it did well. The first answer without the mark of leaving
// brings an upstream back that had it.
func (p *Pool) observe(u *upstream, leaving, well bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if well {
		u.succeed()
	}
	if u.leaving && !leaving {
		u.upSince = p.clock.Now()
	}
	u.leaving = leaving
	if leaving {
		p.serve()
	}
}

// transport returns the transport for requests to u.
func (p *Pool) transport(u *upstream) *http.Transport {
	p.lock.Lock()
	defer p.lock.Unlock()
	return u.requests
}

func (p *Pool) refusalHeader() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.settings.RefusalHeader
}

func (p *Pool) drainHeader() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.settings.DrainHeader
}
