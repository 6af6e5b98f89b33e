package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

const (
	// claimInterval is the time between two claims of an upstream that is not yet released.
	claimInterval = 150 * time.Millisecond

	// notGranted is returned in place of the number of running requests when a claim
	// cannot be granted now.
	notGranted = -1
)

type (
	// Claimer claims the upstreams of one daemon. The exported fields must be set
	// before use.
	Claimer struct {
		Self  func() registrar.Member
		Owner *pooler.Owner
		Links *linker.Manager

		lock sync.Mutex
		view *registrar.View
		// versions holds the roster versions by region.
		versions map[string]uint64
		// wanted holds the owned upstreams that are not yet fully released.
		wanted map[string]*claim
		// yielded holds the upstreams released to another daemon, with the roster
		// version of its claim. They are not claimed until the local roster is at
		// least as new.
		yielded  map[string]uint64
		sequence uint64
		// outstanding holds the claims of the last round that await a response.
		outstanding map[uint64]claimMessage
	}

	// claim is an owned upstream that may still run requests of a former owner.
	// released holds the number of these requests reported by each other member.
	claim struct {
		site     registrar.Site
		released map[registrar.Incarnation]int
	}

	// claimMessage is a claim message sent to one member.
	claimMessage struct {
		to        registrar.Incarnation
		upstreams []string
	}
)

// Set applies the rosters and settings in force. Owner then has exactly the upstreams
// that they assign to this daemon.
func (c *Claimer) Set(view *registrar.View, versions map[string]uint64, settings *resolver.Resolved) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.view = view
	c.versions = versions
	wanted, sites := c.owned(view, settings)
	added := c.Owner.SetUpstreams(wanted)
	old := c.wanted
	c.wanted = map[string]*claim{}
	for _, u := range added {
		c.wanted[u] = &claim{site: sites[u], released: map[registrar.Incarnation]int{}}
	}
	for u, k := range old {
		if _, mine := sites[u]; mine && c.wanted[u] == nil {
			c.wanted[u] = k
		}
	}
	for u, v := range c.yielded {
		if site, mine := sites[u]; !mine || versions[site.Region()] >= v {
			delete(c.yielded, u)
		}
	}
}

// owned returns the upstreams assigned to this daemon, and the site of each.
func (c *Claimer) owned(view *registrar.View, settings *resolver.Resolved) (map[pooler.Key]pooler.PoolConfig, map[string]registrar.Site) {
	me := c.Self().Incarnation
	wanted := map[pooler.Key]pooler.PoolConfig{}
	sites := map[string]registrar.Site{}
	for _, site := range settings.Sites {
		serving := view.Serving(site)
		for _, name := range settings.Services {
			s := settings.At(site, name)
			k := pooler.Key{Site: site, Service: name}
			for _, u := range s.Upstreams {
				if m, ok := registrar.OwnerAmong(serving, u); ok && m.Incarnation == me {
					w := wanted[k]
					w.Settings = s
					w.Upstreams = append(w.Upstreams, u)
					wanted[k] = w
					sites[u] = site
				}
			}
		}
	}
	return wanted, sites
}

// Run sends claims until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	t := time.NewTicker(claimInterval)
	defer t.Stop()
	for {
		c.sendClaims(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sendClaims sends one round of claims.
func (c *Claimer) sendClaims(ctx context.Context) {
	c.lock.Lock()
	c.outstanding = map[uint64]claimMessage{}
	byRegion := map[string][]string{}
	for u, k := range c.wanted {
		if _, yields := c.yielded[u]; !yields {
			byRegion[k.site.Region()] = append(byRegion[k.site.Region()], u)
		}
	}
	var out []func()
	for region, upstreams := range byRegion {
		for _, m := range c.peers(region) {
			out = append(out, c.prepareClaim(ctx, m, region, upstreams))
		}
		for _, u := range upstreams {
			c.tryActivate(u)
		}
	}
	c.lock.Unlock()
	for _, send := range out {
		send()
	}
}

// peers returns the other members of a region.
func (c *Claimer) peers(region string) []registrar.Member {
	var out []registrar.Member
	for _, m := range c.view.Region(region) {
		if m.Incarnation != c.Self().Incarnation {
			out = append(out, m)
		}
	}
	return out
}

// prepareClaim registers a claim for a member and returns a function that sends it. The
// caller must hold the lock and call the function without it.
func (c *Claimer) prepareClaim(ctx context.Context, m registrar.Member, region string, upstreams []string) func() {
	c.sequence++
	c.outstanding[c.sequence] = claimMessage{to: m.Incarnation, upstreams: upstreams}
	msg := &framer.Claim{
		Sequence:  c.sequence,
		Upstreams: upstreams,
		Region:    region,
		Version:   c.versions[region],
	}
	return func() { c.Links.Peer(ctx, m).Send(framer.KindClaim, msg) }
}

// HandleClaim handles the claim of another daemon and returns the response.
func (c *Claimer) HandleClaim(m *framer.Claim) *framer.Released {
	c.lock.Lock()
	defer c.lock.Unlock()
	out := &framer.Released{Sequence: m.Sequence}
	for _, u := range m.Upstreams {
		out.Busy = append(out.Busy, int32(c.grant(u, m)))
	}
	return out
}

// grant stops sending to u and returns the number of this daemon's requests still running
// there, or notGranted if the claim is based on an older roster than the local one. It does
// not confirm that nobody sends to u: this daemon may itself still wait for a former owner.
func (c *Claimer) grant(u string, m *framer.Claim) int {
	if m.Version < c.versions[m.Region] {
		return notGranted
	}
	if c.yielded == nil {
		c.yielded = map[string]uint64{}
	}
	c.yielded[u] = m.Version
	return c.Owner.Release(u)
}

// HandleReleased handles the response to a claim.
func (c *Claimer) HandleReleased(m *framer.Released) {
	c.lock.Lock()
	defer c.lock.Unlock()
	q, ok := c.outstanding[m.Sequence]
	if !ok || len(m.Busy) != len(q.upstreams) {
		return
	}
	delete(c.outstanding, m.Sequence)
	for i, u := range q.upstreams {
		k := c.wanted[u]
		if k == nil {
			continue
		}
		if m.Busy[i] < 0 {
			delete(k.released, q.to)
			continue
		}
		k.released[q.to] = int(m.Busy[i])
		c.tryActivate(u)
	}
}

// tryActivate starts using u once all other members have responded, and stops claiming it
// once none of them has a request running there.
func (c *Claimer) tryActivate(u string) {
	k := c.wanted[u]
	busy := 0
	for _, m := range c.peers(k.site.Region()) {
		n, ok := k.released[m.Incarnation]
		if !ok {
			return
		}
		busy += n
	}
	c.Owner.Claimed(u, busy)
	if busy == 0 {
		delete(c.wanted, u)
	}
}
