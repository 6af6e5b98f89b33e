package cataloger

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// UpstreamID is what an upstream calls itself. It may start again under the id that
	// it had.
	UpstreamID string

	// Incarnation is one life of an upstream, from a start to its end. Nothing that is
	// known of one holds for the next: its connections, its load, the keys that it
	// remembers.
	Incarnation struct {
		ID   UpstreamID
		Born timekeeper.Millis
	}

	// Upstream is one incarnation as it was last reported.
	Upstream struct {
		ID UpstreamID
		// Born is when it started by its own clock, in milliseconds since the Unix
		// epoch, 0 if it does not say.
		Born    timekeeper.Millis
		Service resolver.ServiceName
		Address string
		Site    registrar.Site
		// Release is the version of the upstream's software.
		Release string
		Slots   int
		// Leaving tells that it takes no new work.
		Leaving bool
		// ColdUntil is a reading of the monotonic clock, 0 for a warm one.
		ColdUntil timekeeper.Millis

		hash hasher.Hash
	}

	// Snapshot is the catalog at one moment. It never changes.
	Snapshot struct {
		// Change numbers the snapshots of this process.
		Change   uint64
		services map[resolver.ServiceName][]*Upstream
		usable   map[UpstreamID]*Upstream
	}

	// Catalog collects reports and publishes snapshots. The zero value is an
	// empty catalog.
	Catalog struct {
		lock      sync.Mutex
		upstreams map[UpstreamID]*Upstream
		// latestStart is the latest start that was reported of each upstream, also of some
		// that are gone: an older report that arrives late is of a former life.
		latestStart map[UpstreamID]timekeeper.Millis
		evacuated   map[string]bool
		current     atomic.Pointer[Snapshot]
		// openBatches is how many batches are open, and stale whether one of them
		// changed anything.
		openBatches int
		dirty       bool
	}
)

// maxRemovedStarts is how many upstreams that are gone may be remembered. Late reports come
// within seconds, in which a fleet of hundreds replaces some tens.
const maxRemovedStarts = 1000

var empty Snapshot

// Hash identifies the incarnation.
func (u *Upstream) Hash() hasher.Hash {
	return u.hash
}

// Incarnation tells this life of the upstream from others.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{u.ID, u.Born}
}

func (u *Upstream) setHash() {
	u.hash = hasher.OfString(string(u.ID))
	if u.Born != 0 {
		u.hash = hasher.Mix(u.hash, hasher.Hash(u.Born))
	}
}

// Cold tells whether u is cold at a reading of the clock.
func (u *Upstream) Cold(now timekeeper.Millis) bool {
	return now < u.ColdUntil
}

// Current returns the latest snapshot.
func (c *Catalog) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return &empty
}

// Of returns the upstreams of a service that take new work. The slice must not
// be changed.
func (s *Snapshot) Of(name resolver.ServiceName) []*Upstream {
	return s.services[name]
}

// Usable returns the upstream if this life of it takes new work, nil if not.
func (s *Snapshot) Usable(i Incarnation) *Upstream {
	if u := s.usable[i.ID]; u != nil && u.Born == i.Born {
		return u
	}
	return nil
}

// Batch makes f's changes appear in one snapshot. Building one takes time in
// proportion to all upstreams, and changes come by the hundred.
func (c *Catalog) Batch(f func()) {
	c.lock.Lock()
	c.openBatches++
	c.lock.Unlock()
	f()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.openBatches--
	if c.openBatches == 0 && c.dirty {
		c.publish()
	}
}

// Put records what was reported of one upstream, and reports false if that was of a
// former life.
func (c *Catalog) Put(u Upstream) (current bool) {
	c.update(func() {
		if current = c.recordStart(u); current {
			u.setHash()
			c.upstreams[u.ID] = &u
		}
	})
	return current
}

// recordStart notes a life, and reports false if a later one is known. The caller holds the
// lock.
func (c *Catalog) recordStart(u Upstream) bool {
	if u.Born < c.latestStart[u.ID] {
		return false
	}
	if u.Born != 0 {
		c.latestStart[u.ID] = u.Born
	}
	return true
}

// forgetStarts drops the lives of upstreams that are gone once there are many.
func (c *Catalog) forgetStarts() {
	if len(c.latestStart) <= len(c.upstreams)+maxRemovedStarts {
		return
	}
	maps.DeleteFunc(c.latestStart, func(id UpstreamID, _ timekeeper.Millis) bool {
		return c.upstreams[id] == nil
	})
}

// Remove forgets an upstream that is gone.
func (c *Catalog) Remove(id UpstreamID) {
	c.update(func() {
		delete(c.upstreams, id)
	})
}

// Replace makes all known upstreams be those of a complete list. One that is listed with
// a former life stays as it is known.
func (c *Catalog) Replace(all []Upstream) {
	c.update(func() {
		before := c.upstreams
		c.upstreams = make(map[UpstreamID]*Upstream, len(all))
		for _, u := range all {
			if c.recordStart(u) {
				u.setHash()
				c.upstreams[u.ID] = &u
			} else if known := before[u.ID]; known != nil {
				c.upstreams[u.ID] = known
			}
		}
	})
}

// Evacuate says that a failure domain is to get nothing more.
func (c *Catalog) Evacuate(domain string) {
	c.update(func() {
		c.evacuated[domain] = true
	})
}

// Readmit takes an evacuation back. Until coldUntil the upstreams of the domain
// count as cold, since their caches may have been lost meanwhile.
func (c *Catalog) Readmit(domain string, coldUntil func(resolver.ServiceName) timekeeper.Millis) {
	c.update(func() {
		if !c.evacuated[domain] {
			return
		}
		delete(c.evacuated, domain)
		for id, u := range c.upstreams {
			if u.Site.Domain() != domain {
				continue
			}
			w := *u
			w.ColdUntil = max(w.ColdUntil, coldUntil(u.Service))
			c.upstreams[id] = &w
		}
	})
}

// Evacuated returns the evacuated failure domains.
func (c *Catalog) Evacuated() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var names []string
	for d := range c.evacuated {
		names = append(names, d)
	}
	return names
}

// All returns what was last reported of every upstream.
func (c *Catalog) All() []Upstream {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		all = append(all, *u)
	}
	return all
}

// Known returns what was last reported of an upstream.
func (c *Catalog) Known(id UpstreamID) (Upstream, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	u := c.upstreams[id]
	if u == nil {
		return Upstream{}, false
	}
	return *u, true
}

func (c *Catalog) update(f func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.upstreams == nil {
		c.upstreams = map[UpstreamID]*Upstream{}
		c.latestStart = map[UpstreamID]timekeeper.Millis{}
		c.evacuated = map[string]bool{}
	}
	f()
	c.forgetStarts()
	if c.openBatches > 0 {
		c.dirty = true
		return
	}
	c.publish()
}

func (c *Catalog) publish() {
	c.dirty = false
	s := &Snapshot{
		Change:   c.Current().Change + 1,
		services: map[resolver.ServiceName][]*Upstream{},
		usable:   map[UpstreamID]*Upstream{},
	}
	for id, u := range c.upstreams {
		if u.Leaving || c.evacuated[u.Site.Domain()] {
			continue
		}
		s.usable[id] = u
		s.services[u.Service] = append(s.services[u.Service], u)
	}
	c.current.Store(s)
}
