package heartbeater

import (
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// isAlive reports whether the member is considered alive.
func (k *knownMember) isAlive(now timekeeper.Millis) bool {
	return now-max(k.lastAlive, k.confirmed) < MemberTimeout
}

// expireUnheard marks all members as dead that sent no heartbeat to this one within
// MemberTimeout. It is called before a full table of living members is recorded. The caller
// must hold the lock.
func (b *Heartbeater) expireUnheard(now timekeeper.Millis) {
	for _, k := range b.members {
		k.expireUnheard(now)
	}
	b.changes++
}

// expireUnheard marks the member as dead if it sent no heartbeat to this one within MemberTimeout.
func (k *knownMember) expireUnheard(now timekeeper.Millis) {
	if now-k.lastHeartbeat >= MemberTimeout || k.lastHeartbeat == 0 {
		k.lastAlive = min(k.lastAlive, now-MemberTimeout)
		k.confirmed = k.lastAlive
	}
}

// confirmLiveness records the leader's liveness confirmation for all members that this one
// considers alive. The caller must hold the lock.
func (b *Heartbeater) confirmLiveness(now timekeeper.Millis) {
	for _, k := range b.members {
		if k.isAlive(now) {
			k.confirmed = now
		}
	}
}

func memberDigest(m Member) hasher.Hash {
	state := hasher.Hash(m.Incarnation)
	for _, flag := range []bool{m.Ready, m.Leaving, m.Reaching} {
		state <<= 1
		if flag {
			state++
		}
	}
	h := hasher.Mix(hasher.OfString(m.Name), state)
	if m.Cut {
		// Versions that do not know of cuts have the same digest of all other members.
		h = hasher.Mix(h, hasher.OfString("cut"))
	}
	return h
}

// recordRow records that a member was alive at a time and returns it, or nil if it is this
// member or has no name. The caller must hold the lock.
func (b *Heartbeater) recordRow(r *Row, lastAlive timekeeper.Millis) *knownMember {
	if r.Name == "" || r.Name == b.self.Name {
		return nil
	}
	k := b.members[r.Name]
	if k == nil {
		return b.insert(memberOf(r), lastAlive)
	}
	if lastAlive < k.lastAlive {
		return k
	}
	if b.Clock.Now()-k.lastAlive >= MemberTimeout {
		b.changes++ // it is alive again
	}
	k.lastAlive = lastAlive
	if m := memberOf(r); m != k.Member {
		b.replace(k, m)
	}
	return k
}

// replace replaces the description of a member. The caller must hold the lock.
func (b *Heartbeater) replace(k *knownMember, m Member) {
	b.unlist(k)
	k.Member = m
	b.list(k)
}

func (b *Heartbeater) insert(m Member, lastAlive timekeeper.Millis) *knownMember {
	if b.members == nil {
		b.members = map[string]*knownMember{}
		b.sites = map[string]registrar.Site{}
		b.regions = map[string][]*knownMember{}
	}
	k := &knownMember{Member: m, nameHash: hasher.OfString(m.Name), lastAlive: lastAlive}
	b.members[m.Name] = k
	b.list(k)
	return k
}

// list adds a member to the lists by address and by region. The caller must hold the lock.
func (b *Heartbeater) list(k *knownMember) {
	b.changes++
	k.region, k.digest = k.Site.Region(), memberDigest(k.Member)
	b.sites[k.Beats] = k.Site
	l := b.regions[k.region]
	i, _ := slices.BinarySearchFunc(l, k, compareLeaders)
	b.regions[k.region] = slices.Insert(l, i, k)
}

// unlist takes back what list added. The caller must hold the lock.
func (b *Heartbeater) unlist(k *knownMember) {
	b.changes++
	delete(b.sites, k.Beats)
	l := b.regions[k.region]
	if i := slices.Index(l, k); i >= 0 {
		l = slices.Delete(l, i, i+1)
	}
	if b.regions[k.region] = l; len(l) == 0 {
		delete(b.regions, k.region)
	}
}

// removeSilent removes members that have been silent for forgetTimeout. The caller must hold
// the lock.
func (b *Heartbeater) removeSilent() {
	now := b.Clock.Now()
	for n, k := range b.members {
		if now-max(k.lastAlive, k.confirmed) > forgetTimeout {
			delete(b.members, n)
			b.unlist(k)
		}
	}
}
