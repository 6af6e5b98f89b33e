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
	// A site that served nothing is left alone for initialBackOff, twice as long
	// each time that a request sent to try it fails, up to maxBackOff.
	initialBackOff = 250 * timekeeper.Millis(1)
	maxBackOff     = 4 * timekeeper.Second

	// maxDetours is how many other sites a request is offered.
	maxDetours = 3
)

type (
	// siteBackOffs remembers which sites serve nothing of a service. Every entry
	// finds that out by itself, with a request now and then, and needs neither
	// the planner nor the platform for it. The zero value is ready.
	siteBackOffs struct {
		lock  sync.Mutex
		sites map[pooler.Key]siteBackOff
	}

	siteBackOff struct {
		until timekeeper.Millis
		delay timekeeper.Millis
	}
)

// active tells whether a site is to be left alone now. Once its time is over one
// request may try it; the others go on as before until that has ended.
func (d *siteBackOffs) active(k pooler.Key, now timekeeper.Millis) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	x, ok := d.sites[k]
	if !ok {
		return false
	}
	if now < x.until {
		return true
	}
	x.delay = min(2*x.delay, maxBackOff)
	x.until = now + x.delay
	d.sites[k] = x
	return false
}

// exists tells whether a site served nothing when last tried.
func (d *siteBackOffs) exists(k pooler.Key) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, ok := d.sites[k]
	return ok
}

// record takes in how a request at a site ended. It reports whether that changed what
// is known of the site.
func (d *siteBackOffs) record(k pooler.Key, now timekeeper.Millis, served bool) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, ok := d.sites[k]
	switch {
	case served:
		delete(d.sites, k)
	case !ok:
		if d.sites == nil {
			d.sites = map[pooler.Key]siteBackOff{}
		}
		d.sites[k] = siteBackOff{until: now + initialBackOff, delay: initialBackOff}
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
	t := &attempts{call: c, idempotent: s.Idempotent(c.Method)}
	t.trackProgress()
	f.budgets.of(c.Service).earn(s.RetryBudget)
	return t.overallResult(f.runWithDetour(ctx, t))
}

func (f *Forwarder) runWithDetour(ctx context.Context, t *attempts) exchanger.Result {
	c := t.call
	k := pooler.KeyOf(c)
	if c.Detour || c.Relayed {
		return f.runAtSite(ctx, t)
	}
	if f.siteBackOffs.active(k, f.Clock.Now()) {
		if r, ok := f.detour(ctx, t); ok {
			return r
		}
		c.Site, c.Detour = k.Site, false
	}
	r := f.runAtSite(ctx, t)
	if r.Reason == exchanger.ReasonCancelled || r.Reason == exchanger.ReasonDeadline {
		return r
	}
	if f.siteBackOffs.record(k, f.Clock.Now(), !unserved(r)) {
		f.count("site_darkness_changes", c, string(k.Site))
	}
	if !unserved(r) || !t.untouched() {
		return r
	}
	if other, ok := f.detour(ctx, t); ok {
		return other
	}
	return r
}

// detour offers the call to other sites. It reports false when no site took it.
func (f *Forwarder) detour(ctx context.Context, t *attempts) (exchanger.Result, bool) {
	c := t.call
	for _, site := range f.detourSites(f.Snapshot(), c) {
		c.Site, c.Detour = site, true
		r := f.runAtSite(ctx, t)
		k := pooler.KeyOf(c)
		if unserved(r) {
			f.siteBackOffs.record(k, f.Clock.Now(), false)
		}
		if !unserved(r) && r.Reason != exchanger.ReasonAtLimit {
			f.count("detours", c, r.Outcome.String())
			return r, true
		}
		if !t.untouched() || f.expired(c) || ctx.Err() != nil {
			return r, true
		}
	}
	return exchanger.Result{}, false
}

// detourSites returns where a call may go instead of its site: to the sites of the
// origin's region first, in random order by what they may carry.
func (f *Forwarder) detourSites(s *steerer.Snapshot, c *exchanger.Call) []registrar.Site {
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
		if site == c.Site || weight == 0 || set.DrainedAt(wall) || f.siteBackOffs.exists(k) {
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
