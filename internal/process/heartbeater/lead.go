package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/hasher"
)

// Leads tells whether this member leads its region.
func (b *Beater) Leads() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.lead(self) == nil
}

// Lead returns the address for datagrams of the other member that leads the region, ""
// if there is none.
func (b *Beater) Lead() string {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	if k := b.lead(self); k != nil {
		return k.Beats
	}
	return ""
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

// following tells whether another member leads and says so. The caller holds the
// lock.
func (b *Beater) following(self Member) bool {
	k := b.lead(self)
	return k != nil && b.Clock.Now()-k.leading < leadSilence
}

// better returns the lead of the region if it is another one than k, which follows
// nobody since it does not know of that one. The caller holds the lock.
func (b *Beater) better(k *known, self Member) *Row {
	now := b.Clock.Now()
	lead := b.lead(self)
	if lead == nil || lead == k || now-lead.leading > leadSilence {
		return nil
	}
	return row(lead.Member, now-lead.heard)
}

// lead returns the member that leads the region of self, nil for self. A member
// that does not reach the store or is leaving comes behind those that do.
func (b *Beater) lead(self Member) *known {
	now := b.Clock.Now()
	var best *known
	for _, k := range b.members {
		if k.Site.Region() != self.Site.Region() || now-max(k.heard, k.vouched) > leadSilence {
			continue
		}
		if best == nil || before(k.Member, k.order, best.Member, best.order) {
			best = k
		}
	}
	if best != nil && before(best.Member, best.order, self, hasher.OfString(self.Name)) {
		return best
	}
	return nil
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
