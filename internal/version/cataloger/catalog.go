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
	// UpstreamID is the id under which an upstream registers. An upstream may restart
	// under the same id.
	UpstreamID string

	// Incarnation identifies one run of an upstream, from start to termination. No
	// state carries over to the next incarnation: neither connections nor load nor the
	// keys that the upstream remembers.
	Incarnation struct {
		ID   UpstreamID
		Born timekeeper.Millis
	}

	// Upstream is the last reported state of one incarnation.
	Upstream struct {
		ID UpstreamID
		// Born is the start time by the clock of the upstream, in milliseconds since
		// the Unix epoch, or 0 if it is not reported.
		Born    timekeeper.Millis
		Service resolver.ServiceName
		Address string
		Site    registrar.Site
		// Release is the version of the upstream's software.
		Release string
		Slots   int
		// Leaving reports that the upstream accepts no new requests.
		Leaving bool
		// ColdUntil is the time on the monotonic clock until which the upstream is
		// cold, or 0 if it is warm.
		ColdUntil timekeeper.Millis

		hash hasher.Hash
		// announced reports that the upstream leaves by its own announcement and that its last
		// report does not say so.
		announced bool
	}

	// Snapshot is an immutable view of the catalog.
	Snapshot struct {
		// Change is the sequence number of the snapshot within this process.
		Change uint64
		view
		// listsAny reports whether there are upstreams, usable or not.
		listsAny bool
	}

	// view is what a snapshot shows. A change of it takes time logarithmic in the number of
	// upstreams.
	view struct {
		services map[resolver.ServiceName]*Pool
		usable   *Pool
		// announced holds the upstreams of whose departures only announcements tell, and
		// announcedDigest a digest of these.
		announced       *Pool
		announcedDigest hasher.Hash
	}

	// Catalog collects reports and publishes snapshots. The zero value is an empty
	// catalog. It is safe for concurrent use.
	Catalog struct {
		lock      sync.Mutex
		upstreams map[UpstreamID]*Upstream
		// latestStart is the latest reported start time of each upstream, including
		// some that have been removed. A delayed report with an earlier start time
		// belongs to a former incarnation.
		latestStart map[UpstreamID]timekeeper.Millis
		evacuated   map[string]bool
		// departures are the upstreams that announced in a response that they leave.
		departures map[Departure]bool
		current    atomic.Pointer[Snapshot]
		// next is what the next snapshot shows. batch numbers the snapshots: what has another
		// number is published and must not be modified.
		next  view
		batch uint64
		// openBatches is the number of batches in progress. dirty reports whether one
		// of them has changed anything.
		openBatches int
		dirty       bool
	}
)

// minRemoved is the number of removed upstreams of which a catalog keeps what later reports must not
// contradict, where fewer are listed. A delayed report arrives within seconds, and in that time a
// release replaces a part of those listed.
const minRemoved = 1000

var emptySnapshot Snapshot

// Hash returns a hash that identifies the incarnation.
func (u *Upstream) Hash() hasher.Hash {
	return u.hash
}

// Incarnation returns the id and start time of u.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{u.ID, u.Born}
}

// hash returns the hash that identifies the incarnation.
func (i Incarnation) hash() hasher.Hash {
	h := hasher.OfString(string(i.ID))
	if i.Born != 0 {
		h = hasher.Mix(h, hasher.Hash(i.Born))
	}
	return h
}

// Cold reports whether u is cold at a time on the monotonic clock.
func (u *Upstream) Cold(now timekeeper.Millis) bool {
	return now < u.ColdUntil
}

// Current returns the latest snapshot.
func (c *Catalog) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return &emptySnapshot
}

// ByService returns the upstreams of a service that accept new requests.
func (s *Snapshot) ByService(name resolver.ServiceName) *Pool {
	return s.services[name]
}

// Usable returns the upstream if this incarnation of it accepts new requests, and nil
// otherwise.
func (s *Snapshot) Usable(i Incarnation) *Upstream {
	if u := s.usable.Find(i.hash()); u != nil && u.Incarnation() == i {
		return u
	}
	return nil
}

// AllUsable returns the upstreams that accept new requests.
func (s *Snapshot) AllUsable() *Pool {
	return s.usable
}

// Batch publishes all changes that f makes in a single snapshot.
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

// Put records the reported state of an upstream. It ignores the report and returns
// false if a later incarnation is known.
func (c *Catalog) Put(u Upstream) (current bool) {
	c.update(func() {
		if current = c.recordStart(u); current {
			c.put(u)
		}
	})
	return current
}

// put records the reported state of an upstream. One that was reported as leaving stays so: a later
// report may be an older one. The caller must hold c.lock.
func (c *Catalog) put(u Upstream) {
	u.hash = u.Incarnation().hash()
	reported := u.Leaving
	if reported {
		c.departures[u.Departure()] = true
	}
	u.Leaving = c.departures[u.Departure()]
	u.announced = u.Leaving && !reported
	c.set(u.ID, &u)
}

// recordStart records the start time of an upstream and reports whether no later one is
// known. The caller must hold c.lock.
func (c *Catalog) recordStart(u Upstream) bool {
	if u.Born < c.latestStart[u.ID] {
		return false
	}
	if u.Born != 0 {
		c.latestStart[u.ID] = u.Born
	}
	return true
}

// set replaces what is known of an upstream, by nil to remove it. The caller must hold c.lock.
func (c *Catalog) set(id UpstreamID, u *Upstream) {
	if former := c.upstreams[id]; former != nil {
		c.hide(former)
	}
	if u == nil {
		delete(c.upstreams, id)
		return
	}
	c.upstreams[id] = u
	c.show(u)
}

// forgetStarts drops the start times of removed upstreams once there are too many. The caller must
// hold c.lock.
func (c *Catalog) forgetStarts() {
	if len(c.latestStart) <= len(c.upstreams)+c.maxRemoved() {
		return
	}
	maps.DeleteFunc(c.latestStart, func(id UpstreamID, _ timekeeper.Millis) bool {
		return c.upstreams[id] == nil
	})
}

// maxRemoved returns the number of removed upstreams of which something is kept. It grows with the
// number of those listed, so that dropping what is kept takes a constant time for each removal.
func (c *Catalog) maxRemoved() int {
	return max(minRemoved, len(c.upstreams))
}

// Remove removes an upstream.
func (c *Catalog) Remove(id UpstreamID) {
	c.update(func() {
		c.set(id, nil)
	})
}

// Replace replaces all upstreams with those of a complete list. If the list holds a
// former incarnation of a known upstream, the known one is kept.
func (c *Catalog) Replace(all []Upstream) {
	c.update(func() {
		listed := make(map[UpstreamID]bool, len(all))
		for _, u := range all {
			listed[u.ID] = true
			if c.recordStart(u) {
				c.put(u)
			}
		}
		for id := range c.upstreams {
			if !listed[id] {
				c.set(id, nil)
			}
		}
	})
}

// Evacuate excludes the upstreams of a failure domain from new snapshots.
func (c *Catalog) Evacuate(domain string) {
	c.update(func() {
		if c.evacuated[domain] {
			return
		}
		list := c.inDomain(domain)
		for _, u := range list {
			c.hide(u)
		}
		c.evacuated[domain] = true
		for _, u := range list {
			c.show(u)
		}
	})
}

// Readmit ends an evacuation. The upstreams of the domain count as cold until the time
// that coldUntil returns for their service, because they may have lost their caches in
// the meantime.
func (c *Catalog) Readmit(domain string, coldUntil func(resolver.ServiceName) timekeeper.Millis) {
	c.update(func() {
		if !c.evacuated[domain] {
			return
		}
		list := c.inDomain(domain)
		for _, u := range list {
			c.hide(u)
		}
		delete(c.evacuated, domain)
		for _, u := range list {
			w := *u
			w.ColdUntil = max(w.ColdUntil, coldUntil(u.Service))
			c.upstreams[u.ID] = &w
			c.show(&w)
		}
	})
}

// inDomain returns the upstreams of a failure domain. The caller must hold c.lock.
func (c *Catalog) inDomain(domain string) (list []*Upstream) {
	for _, u := range c.upstreams {
		if u.Site.Domain() == domain {
			list = append(list, u)
		}
	}
	return list
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

// All returns the last reported state of every upstream.
func (c *Catalog) All() []Upstream {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		all = append(all, *u)
	}
	return all
}

// Known returns the last reported state of an upstream, and whether there is one.
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
		c.departures = map[Departure]bool{}
		c.next.services = map[resolver.ServiceName]*Pool{}
		c.batch = 1
	}
	f()
	c.forgetStarts()
	c.forgetDepartures()
	if c.openBatches > 0 {
		c.dirty = true
		return
	}
	c.publish()
}

func (c *Catalog) publish() {
	c.dirty = false
	c.current.Store(&Snapshot{Change: c.Current().Change + 1, view: c.next, listsAny: len(c.upstreams) > 0})
	c.batch++
	c.next.services = maps.Clone(c.next.services)
}

// show adds an upstream to the next snapshot. The caller must hold c.lock.
func (c *Catalog) show(u *Upstream) {
	v := &c.next
	if u.announced {
		v.announced = v.announced.put(u, c.batch)
		v.announcedDigest ^= u.Departure().Hash()
	}
	if c.accepts(u) {
		v.usable = v.usable.put(u, c.batch)
		v.services[u.Service] = v.services[u.Service].put(u, c.batch)
	}
}

// hide takes back what show added. The caller must hold c.lock.
func (c *Catalog) hide(u *Upstream) {
	v := &c.next
	if u.announced {
		v.announced = v.announced.remove(u, c.batch)
		v.announcedDigest ^= u.Departure().Hash()
	}
	if !c.accepts(u) {
		return
	}
	v.usable = v.usable.remove(u, c.batch)
	if v.services[u.Service] = v.services[u.Service].remove(u, c.batch); v.services[u.Service].Len() == 0 {
		delete(v.services, u.Service)
	}
}

// accepts reports whether an upstream accepts new requests.
func (c *Catalog) accepts(u *Upstream) bool {
	return !u.Leaving && !c.evacuated[u.Site.Domain()]
}
