package cataloger

import (
	"maps"
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
)

// Departure identifies an upstream that announced in a response that it leaves. Upstreams that
// report no start time are distinguished by their addresses.
type Departure struct {
	Incarnation
	Address string
}

// Departure returns what identifies u if it leaves.
func (u *Upstream) Departure() Departure {
	return Departure{u.Incarnation(), u.Address}
}

// MarkLeaving records that upstreams announced that they leave, and returns those of which it was
// not known. An incarnation that leaves does not come back, so later reports of the store cannot
// make it usable again, whether it is listed, not listed yet, or removed for some time.
func (c *Catalog) MarkLeaving(list ...Departure) (added []Departure) {
	if c.knowsLeaving(list) {
		return nil
	}
	c.update(func() {
		for _, d := range list {
			if c.departures[d] {
				continue
			}
			c.departures[d] = true
			added = append(added, d)
			if u := c.upstreams[d.ID]; u != nil && u.Departure() == d {
				left := *u
				left.Leaving, left.announced = true, true
				c.set(d.ID, &left)
			}
		}
	})
	return added
}

// Departures returns the upstreams that are known to leave, including some that were removed.
func (c *Catalog) Departures() []Departure {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Collect(maps.Keys(c.departures))
}

// knowsLeaving reports whether all upstreams of a list are known to leave.
func (c *Catalog) knowsLeaving(list []Departure) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return !slices.ContainsFunc(list, func(d Departure) bool { return !c.departures[d] })
}

// AnnouncedDepartures returns the listed upstreams that leave although their last reports do not
// say so: only announcements tell of them.
func (s *Snapshot) AnnouncedDepartures() (list []Departure) {
	for u := range s.announced.All() {
		list = append(list, u.Departure())
	}
	return list
}

// AnnouncedDigest returns a digest of AnnouncedDepartures, and false if no upstreams are listed.
func (s *Snapshot) AnnouncedDigest() (uint64, bool) {
	return uint64(s.announcedDigest), s.listsAny
}

// Hash returns a hash that identifies the departure.
func (d Departure) Hash() hasher.Hash {
	return hasher.Mix(hasher.Mix(hasher.OfString(string(d.ID)), hasher.Hash(d.Born)), hasher.OfString(d.Address))
}

// At returns the usable upstreams at an address.
func (s *Snapshot) At(address string) (list []*Upstream) {
	for u := range s.usable.All() {
		if u.Address == address {
			list = append(list, u)
		}
	}
	return list
}

// forgetDepartures drops the departures of removed upstreams once there are too many. The caller must
// hold c.lock.
func (c *Catalog) forgetDepartures() {
	if len(c.departures) <= len(c.upstreams)+c.maxRemoved() {
		return
	}
	maps.DeleteFunc(c.departures, func(d Departure, _ bool) bool { return c.upstreams[d.ID] == nil })
}
