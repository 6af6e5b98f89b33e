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
	// A site that does not serve a service is backed off for initialBackOff. The delay doubles
	// each time that a request sent to test the site fails, up to maxBackOff.
	initialBackOff = 250 * timekeeper.Millis(1)
	maxBackOff     = 4 * timekeeper.Second

	// maxDetours is the maximum number of other sites that a request is offered to.
	maxDetours = 3
)

type (
	// siteBackOffs tracks the sites at which no daemon serves a service. Each entry detects
	// them from the results of its own requests, without the planner or the platform, and
	// sends an occasional request to test whether they serve it again. The zero value is ready
	// to use.
	siteBackOffs struct {
		lock  sync.Mutex
		sites map[pooler.Key]siteBackOff
	}

	// siteBackOff holds the end of a site's current back-off and its length.
	siteBackOff struct {
		until timekeeper.Millis
		delay timekeeper.Millis
	}
)

// active reports whether a site is backed off now. Once its delay is over, one request may
// test the site; the others avoid it until that request has ended.
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

// servedNothing reports whether, by the last known result, no daemon of a site serves the
// service.
func (d *siteBackOffs) servedNothing(k pooler.Key) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, ok := d.sites[k]
	return ok
}

// record records whether a site served a request, and reports whether that differs from the
// last known result. A site without a result counts as serving.
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

// unserved reports whether a result means that no daemon of the site serves the service.
func unserved(r exchanger.Result) bool {
	if r.Outcome != exchanger.NotRun {
		return false
	}
	switch r.Reason {
	case exchanger.ReasonNoUpstream, exchanger.ReasonNoEntry, exchanger.ReasonLinkUnreachable:
		return true
	}
	return false
}

// run runs the call at its site or, if nothing there serves it, at another site.
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

// detour offers the call to other sites. It reports false if no site took it.
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

// detourSites returns the sites that a call may be offered to instead of its own: those in the
// origin's region first, each group in random order weighted by what the sites may carry.
func (f *Forwarder) detourSites(s *steerer.Snapshot, c *exchanger.Call) []registrar.Site {
	type option struct {
		site   registrar.Site
		remote int
		order  float64
	}
	var all []option
	wall := f.Clock.WallNow()
	for _, site := range s.Settings.Sites {
		set := s.Settings.At(site, c.Service)
		weight := float64(set.Capacity()) * set.Limit
		k := pooler.Key{Site: site, Service: c.Service}
		if site == c.Site || weight == 0 || set.DrainedAt(wall) || f.siteBackOffs.servedNothing(k) {
			continue
		}
		o := option{site: site, order: math.Pow(rand.Float64(), 1/weight)}
		if site.Region() != c.Origin.Region() {
			o.remote = 1
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.order, a.order))
	})
	var out []registrar.Site
	for _, o := range all[:min(len(all), maxDetours)] {
		out = append(out, o.site)
	}
	return out
}
