package forwarder

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// A site that served nothing is left alone for firstDark, twice as long
	// each time that a request sent to try it fails, up to lastDark.
	firstDark = 250 * timekeeper.Millis(1)
	lastDark  = 4 * timekeeper.Second

	// maxDetours is how many other sites a request is offered.
	maxDetours = 3
)

type (
	// detours remembers which sites serve nothing of a service. Every entry
	// finds that out by itself, with a request now and then, and needs neither
	// the planner nor the platform for it. The zero value is ready.
	detours struct {
		lock sync.Mutex
		dark map[pooler.Key]darkness
	}

	darkness struct {
		until  timekeeper.Millis
		length timekeeper.Millis
	}
)

// blocked tells whether a site is to be left alone now. Once its time is over one
// request may try it; the others go on as before until that has ended.
func (d *detours) blocked(k pooler.Key, now timekeeper.Millis) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	x, ok := d.dark[k]
	if !ok {
		return false
	}
	if now < x.until {
		return true
	}
	x.length = min(2*x.length, lastDark)
	x.until = now + x.length
	d.dark[k] = x
	return false
}

// known tells whether a site served nothing when last tried.
func (d *detours) known(k pooler.Key) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, ok := d.dark[k]
	return ok
}

// note takes in how a request at a site ended. It reports whether that changed what
// is known of the site.
func (d *detours) note(k pooler.Key, now timekeeper.Millis, served bool) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, ok := d.dark[k]
	switch {
	case served:
		delete(d.dark, k)
	case !ok:
		if d.dark == nil {
			d.dark = map[pooler.Key]darkness{}
		}
		d.dark[k] = darkness{until: now + firstDark, length: firstDark}
	}
	return ok == served
}

// unserved tells whether a result means that nobody at the site serves.
func unserved(r exchanger.Result) bool {
	if r.Outcome != exchanger.NotRun {
		return false
	}
	switch r.Reason {
	case exchanger.ReasonNoUpstream, exchanger.ReasonNoEntry, exchanger.ReasonLinkDial:
		return true
	}
	return false
}

// run runs the call at its site and, when nobody there serves, at another.
func (f *Forwarder) run(ctx context.Context, c *exchanger.Call, s *resolver.Service) exchanger.Result {
	t := &try{call: c, idempotent: s.Idempotent(c.Method)}
	t.hook()
	f.budgets.of(c.Service).earn(s.RetryBudget)
	return t.truth(f.runSomewhere(ctx, t))
}

func (f *Forwarder) runSomewhere(ctx context.Context, t *try) exchanger.Result {
	c := t.call
	k := pooler.KeyOf(c)
	if c.Detour || c.Relayed {
		return f.runAtSite(ctx, t)
	}
	if f.detours.blocked(k, f.Clock.Now()) {
		if r, ok := f.detour(ctx, t); ok {
			return r
		}
		c.Site, c.Detour = k.Site, false
	}
	r := f.runAtSite(ctx, t)
	if r.Reason == exchanger.ReasonCancelled || r.Reason == exchanger.ReasonDeadline {
		return r
	}
	if f.detours.note(k, f.Clock.Now(), !unserved(r)) {
		f.count("site_darkness_changes", c, string(k.Site))
	}
	if !unserved(r) || !t.fresh() {
		return r
	}
	if other, ok := f.detour(ctx, t); ok {
		return other
	}
	return r
}

// detour offers the call to other sites. It reports false when no site took it.
func (f *Forwarder) detour(ctx context.Context, t *try) (exchanger.Result, bool) {
	c := t.call
	for _, site := range f.otherSites(f.Snapshot(), c) {
		c.Site, c.Detour = site, true
		r := f.runAtSite(ctx, t)
		k := pooler.KeyOf(c)
		if unserved(r) {
			f.detours.note(k, f.Clock.Now(), false)
		}
		if !unserved(r) && r.Reason != exchanger.ReasonAtLimit {
			f.count("detours", c, r.Outcome.String())
			return r, true
		}
		if !t.fresh() || f.late(c) || ctx.Err() != nil {
			return r, true
		}
	}
	return exchanger.Result{}, false
}

// otherSites returns where a call may go instead of its site: to the sites of the
// origin's region first, in random order by what they may carry.
func (f *Forwarder) otherSites(s *steerer.Snapshot, c *exchanger.Call) []registrar.Site {
	type option struct {
		site registrar.Site
		near int
		draw float64
	}
	var all []option
	wall := f.Clock.WallNow()
	for _, site := range s.Settings.Sites {
		set := s.Settings.At(site, c.Service)
		weight := float64(set.Capacity()) * set.Limit
		k := pooler.Key{Site: site, Service: c.Service}
		if site == c.Site || weight == 0 || set.DrainedAt(wall) || f.detours.known(k) {
			continue
		}
		o := option{site: site, draw: math.Pow(rand.Float64(), 1/weight)}
		if site.Region() != c.Origin.Region() {
			o.near = 1
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.near, b.near), cmp.Compare(b.draw, a.draw))
	})
	var out []registrar.Site
	for _, o := range all[:min(len(all), maxDetours)] {
		out = append(out, o.site)
	}
	return out
}
