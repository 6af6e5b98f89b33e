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
	// repeat is the time between two claims of what is not yet released.
	repeat = 150 * time.Millisecond

	// unsettled answers a claim that cannot be granted now.
	unsettled = -1
)

type (
	// Claimer claims the upstreams of one daemon. Set the exported fields
	// before use.
	Claimer struct {
		Self  func() registrar.Member
		Owner *pooler.Owner
		Links *linker.Manager

		lock     sync.Mutex
		view     *registrar.View
		versions map[string]uint64
		wanted   map[string]*claim
		yielded  map[string]uint64
		sequence uint64
		asked    map[uint64]question
	}

	// claim is an owned upstream that may have requests of a former owner.
	claim struct {
		site    registrar.Site
		answers map[registrar.Incarnation]int
	}

	question struct {
		to        registrar.Incarnation
		upstreams []string
	}
)

// Set tells the rosters and settings in force. The owner then has exactly the
// upstreams that they give to this daemon.
func (c *Claimer) Set(view *registrar.View, versions map[string]uint64, settings *resolver.Resolved) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.view = view
	c.versions = versions
	wanted, sites := c.owned(view, settings)
	fresh := c.Owner.Set(wanted)
	old := c.wanted
	c.wanted = map[string]*claim{}
	for _, u := range fresh {
		c.wanted[u] = &claim{site: sites[u], answers: map[registrar.Incarnation]int{}}
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

// owned returns the upstreams of this daemon, and the site of each.
func (c *Claimer) owned(view *registrar.View, settings *resolver.Resolved) (map[pooler.Key]pooler.Owned, map[string]registrar.Site) {
	me := c.Self().Incarnation
	wanted := map[pooler.Key]pooler.Owned{}
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

// Run asks for what is claimed until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	t := time.NewTicker(repeat)
	defer t.Stop()
	for {
		c.ask(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ask sends one round of claims.
func (c *Claimer) ask(ctx context.Context) {
	c.lock.Lock()
	c.asked = map[uint64]question{}
	byRegion := map[string][]string{}
	for u, k := range c.wanted {
		if _, yields := c.yielded[u]; !yields {
			byRegion[k.site.Region()] = append(byRegion[k.site.Region()], u)
		}
	}
	var out []func()
	for region, upstreams := range byRegion {
		for _, m := range c.mates(region) {
			out = append(out, c.question(ctx, m, region, upstreams))
		}
		for _, u := range upstreams {
			c.settle(u)
		}
	}
	c.lock.Unlock()
	for _, send := range out {
		send()
	}
}

// mates are the other members of a region.
func (c *Claimer) mates(region string) []registrar.Member {
	var out []registrar.Member
	for _, m := range c.view.Region(region) {
		if m.Incarnation != c.Self().Incarnation {
			out = append(out, m)
		}
	}
	return out
}

func (c *Claimer) question(ctx context.Context, m registrar.Member, region string, upstreams []string) func() {
	c.sequence++
	c.asked[c.sequence] = question{to: m.Incarnation, upstreams: upstreams}
	msg := &framer.Claim{
		Sequence:  c.sequence,
		Upstreams: upstreams,
		Region:    region,
		Version:   c.versions[region],
	}
	return func() { c.Links.Peer(ctx, m).Send(framer.KindClaim, msg) }
}

// Asked answers the claim of another daemon.
func (c *Claimer) Asked(m *framer.Claim) *framer.Released {
	c.lock.Lock()
	defer c.lock.Unlock()
	out := &framer.Released{Sequence: m.Sequence}
	for _, u := range m.Upstreams {
		out.Busy = append(out.Busy, int32(c.grant(u, m)))
	}
	return out
}

// grant stops sending to u, unless the claim goes by an older roster than ours.
// It also answers for those before us: while we wait for a former owner
// ourselves, we cannot say that nobody sends.
func (c *Claimer) grant(u string, m *framer.Claim) int {
	if m.Version < c.versions[m.Region] {
		return unsettled
	}
	if c.yielded == nil {
		c.yielded = map[string]uint64{}
	}
	c.yielded[u] = m.Version
	return c.Owner.Release(u)
}

// Answered takes the answer to a claim.
func (c *Claimer) Answered(m *framer.Released) {
	c.lock.Lock()
	defer c.lock.Unlock()
	q, ok := c.asked[m.Sequence]
	if !ok || len(m.Busy) != len(q.upstreams) {
		return
	}
	delete(c.asked, m.Sequence)
	for i, u := range q.upstreams {
		k := c.wanted[u]
		if k == nil {
			continue
		}
		if m.Busy[i] < 0 {
			delete(k.answers, q.to)
			continue
		}
		k.answers[q.to] = int(m.Busy[i])
		c.settle(u)
	}
}

// settle starts using u once all mates have answered, and stops asking once
// none of them has a request there.
func (c *Claimer) settle(u string) {
	k := c.wanted[u]
	busy := 0
	for _, m := range c.mates(k.site.Region()) {
		n, ok := k.answers[m.Incarnation]
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
