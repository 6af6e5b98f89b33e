package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Leads tells whether this member leads its region.
func (b *Beater) Leads() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.lead(self) == nil
}

// Lead returns the name of the member that this one takes for the lead of its region, maybe
// its own, and whether that one was heard lately as such.
func (b *Beater) Lead() (name string, heard bool) {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	if k := b.lead(self); k != nil {
		return k.Name, b.following(self)
	}
	return self.Name, true
}

// Led tells whether another member leads the region, was heard lately as such, and
// hears of changes itself.
func (b *Beater) Led() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	k := b.lead(self)
	return k != nil && k.Reaching && b.following(self) && b.Clock.Now()-k.fresh < freshFor
}

// Fresh returns how long ago the store answered the lead that this member follows, false if it
// follows none.
func (b *Beater) Fresh() (timekeeper.Millis, bool) {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.following(self) {
		return 0, false
	}
	return b.Clock.Now() - b.lead(self).fresh, true
}

// following tells whether another member leads and says so. The caller holds the
// lock.
func (b *Beater) following(self Member) bool {
	k := b.lead(self)
	return k != nil && b.Clock.Now()-k.leading < leadSilence
}

// better returns the lead of the region for the sender k of a heartbeat that follows nobody
// or another one, nil if this member does not know better. A lead that no longer leads so
// sends those away who still follow it. The caller holds the lock.
func (b *Beater) better(m *Beat, k *known, self Member) *Row {
	now := b.Clock.Now()
	lead := b.lead(self)
	if lead == nil || lead == k || now-lead.leading > leadSilence {
		return nil
	}
	if m.Following && (m.Lead == lead.Name || m.Lead == "") {
		return nil
	}
	return row(lead.Member, now-lead.heard)
}

// lead returns the member that leads the region of self, nil for self. A member
// that does not reach the store or is leaving comes behind those that do.
func (b *Beater) lead(self Member) *known {
	best := b.best(self.Site.Region())
	if best != nil && before(best.Member, best.order, self, hasher.OfString(self.Name)) {
		return best
	}
	return nil
}

// best returns the first other member of a region in the order in which they lead, nil if
// none was heard of lately. The caller holds the lock.
func (b *Beater) best(region string) *known {
	now := b.Clock.Now()
	var best *known
	for _, k := range b.members {
		if k.Site.Region() != region || now-max(k.heard, k.vouched) > leadSilence {
			continue
		}
		if best == nil || before(k.Member, k.order, best.Member, best.order) {
			best = k
		}
	}
	return best
}

func before(x Member, xo hasher.Hash, y Member, yo hasher.Hash) bool {
	if x.Reaching != y.Reaching {
		return x.Reaching
	}
	if x.Leaving != y.Leaving {
		return y.Leaving
	}
	if x.Strength != y.Strength {
		return x.Strength > y.Strength
	}
	return xo < yo
}
