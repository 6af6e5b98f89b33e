package heartbeater

import (
	"slices"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// fleetView is a limiter.FleetView under construction.
type fleetView limiter.FleetView

// FleetView returns what this member knows of the members that share limits with it.
func (b *Heartbeater) FleetView() limiter.FleetView {
	return limiter.FleetView(b.fleetView())
}

func (b *Heartbeater) fleetView() fleetView {
	self := b.Self()
	now := b.Clock.Now()
	b.lock.Lock()
	defer b.lock.Unlock()
	c := fleetView{Known: 1, Reachable: 1}
	anyAlive := false
	best := map[string]*knownMember{}
	for _, k := range b.members {
		alive := now-max(k.lastAlive, k.confirmed) < leaderTimeout
		if k.Leaving && !alive {
			continue // it has shut down gracefully
		}
		c.Known++
		anyAlive = anyAlive || alive
		if !alive {
			continue
		}
		r := k.region
		if r == self.Site.Region() {
			c.Reachable++
		}
		if l := best[r]; l == nil || allocatesBefore(k.Member, k.nameHash, l.Member, l.nameHash) {
			best[r] = k
		}
	}
	c.Isolated = c.Known > 1 && !anyAlive
	c.setAllocators(self, best)
	return c
}

// setAllocators sets the limit allocators of all regions, given the best other member of each.
func (c *fleetView) setAllocators(self Member, best map[string]*knownMember) {
	own := self.Site.Region()
	if l := best[own]; l != nil && allocatesBefore(l.Member, l.nameHash, self, hasher.OfString(self.Name)) {
		c.Allocator = l.Beats
	}
	c.IsAllocator = c.Allocator == ""
	for r, l := range best {
		if r != own {
			c.Others = append(c.Others, l.Beats)
		}
	}
	slices.Sort(c.Others)
}

// allocatesBefore reports whether x is preferred to y as limit allocator. Unlike the leader
// order, it ignores who reaches the store: allocation needs no store, and during an outage of
// the store members disagree on who reaches it and so on who leads.
func allocatesBefore(x Member, xHash hasher.Hash, y Member, yHash hasher.Hash) bool {
	x.Reaching, y.Reaching = true, true
	return precedes(x, xHash, y, yHash)
}

// SendLimit sends a message about limits.
func (b *Heartbeater) SendLimit(e limiter.Envelope) {
	b.send([]string{e.To}, &Datagram{Tokens: &Tokens{
		Kind: uint32(e.Kind), Organisation: uint64(e.Organisation), Number: e.Number, Count: e.Tokens, Need: e.Need,
		AfterMillis: uint32(e.After), GapMillis: uint32(e.Gap),
	}})
}

func limitMessage(m *Tokens) limiter.Message {
	return limiter.Message{
		Kind: limiter.Kind(m.Kind), Organisation: hasher.Hash(m.Organisation), Number: m.Number, Tokens: m.Count, Need: m.Need,
		After: timekeeper.Millis(m.AfterMillis), Gap: timekeeper.Millis(m.GapMillis),
	}
}
