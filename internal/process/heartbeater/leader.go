package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// IsLeader reports whether this member considers itself the leader of its region.
func (b *Heartbeater) IsLeader() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.leader(self) == nil
}

// Leader returns the name of the member, possibly this one, that this one considers the leader
// of its region, and whether that member recently sent a heartbeat as the leader.
func (b *Heartbeater) Leader() (name string, heard bool) {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	if k := b.leader(self); k != nil {
		return k.Name, b.following(self)
	}
	return self.Name, true
}

// FollowsLeader reports whether another member leads the region, recently sent a heartbeat as the
// leader, and is up to date with the store.
func (b *Heartbeater) FollowsLeader() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	k := b.leader(self)
	return k != nil && k.Reaching && b.following(self) && b.Clock.Now()-k.storeResponded < maxStoreAge
}

// LeaderStoreAge returns the time since the store last responded to the leader that this member
// follows. The result is false if it follows none.
func (b *Heartbeater) LeaderStoreAge() (timekeeper.Millis, bool) {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.following(self) {
		return 0, false
	}
	return b.Clock.Now() - b.leader(self).storeResponded, true
}

// following reports whether another member leads and recently sent a heartbeat as the
// leader. The caller must hold the lock.
func (b *Heartbeater) following(self Member) bool {
	k := b.leader(self)
	return k != nil && b.Clock.Now()-k.lastLeading < leaderTimeout
}

// betterLeader returns the leader of the region if the sender k of a heartbeat follows no leader or
// another one, and nil if this member knows no better leader. In this way a former leader
// redirects members that still follow it. The caller must hold the lock.
func (b *Heartbeater) betterLeader(m *Beat, k *knownMember, self Member) *Row {
	now := b.Clock.Now()
	leader := b.leader(self)
	if leader == nil || leader == k || now-leader.lastLeading > leaderTimeout {
		return nil
	}
	if m.Following && (m.Lead == leader.Name || m.Lead == "") {
		return nil
	}
	return row(leader.Member, now-leader.lastAlive)
}

// leader returns the leader of the region of self, or nil if it is self. Members that don't
// reach the store come last in the order, and leaving ones come after those that stay. The
// caller must hold the lock.
func (b *Heartbeater) leader(self Member) *knownMember {
	best := b.best(self.Site.Region())
	if best != nil && precedes(best.Member, best.nameHash, self, hasher.OfString(self.Name)) {
		return best
	}
	return nil
}

// best returns the first other member of a region in the leader order, or nil if none is
// known to be alive within leaderTimeout. The caller must hold the lock.
func (b *Heartbeater) best(region string) *knownMember {
	now := b.Clock.Now()
	for _, k := range b.regions[region] {
		if now-max(k.lastAlive, k.confirmed) <= leaderTimeout {
			return k
		}
	}
	return nil
}

// compareLeaders compares members by the leader order.
func compareLeaders(x, y *knownMember) int {
	switch {
	case x == y:
		return 0
	case precedes(x.Member, x.nameHash, y.Member, y.nameHash):
		return -1
	}
	return 1
}

// precedes reports whether x comes before y in the leader order. The hashes of their names
// break ties.
func precedes(x Member, xHash hasher.Hash, y Member, yHash hasher.Hash) bool {
	if x.Reaching != y.Reaching {
		return x.Reaching
	}
	if x.Leaving != y.Leaving {
		return y.Leaving
	}
	if x.Strength != y.Strength {
		return x.Strength > y.Strength
	}
	return xHash < yHash
}
