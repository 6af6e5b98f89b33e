package heartbeater

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// cacheKey tells until when something that follows from the states of all living members is up
	// to date: until a member changes, or the first of them is no longer alive. Heartbeats that
	// arrive meanwhile only make it valid for longer.
	cacheKey struct {
		changes uint64
		until   timekeeper.Millis
	}

	// cachedDigest is the combined digest of members.
	cachedDigest struct {
		cacheKey
		digest hasher.Hash
	}

	// cachedMembers is a list of members with self among them.
	cachedMembers struct {
		cacheKey
		self Member
		list []Member
	}
)

// Alive returns the living members, including this one, sorted by name. The caller must not modify
// the slice.
func (b *Heartbeater) Alive() []Member {
	now := b.Clock.Now()
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	c := &b.alive
	if c.isCurrent(b.changes, now) && c.self == self {
		return c.list
	}
	*c = cachedMembers{cacheKey: b.newCacheKey(now), self: self, list: []Member{self}}
	for _, k := range b.members {
		if k.isAlive(now) {
			c.list = append(c.list, k.Member)
			c.until = min(c.until, k.expiry())
		}
	}
	slices.SortFunc(c.list, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return c.list
}

// digest returns a digest of the living members and their states. If leading is set, a member
// that is alive only by a liveness confirmation is left out. The caller must hold the lock.
func (b *Heartbeater) digest(leading bool) uint64 {
	now := b.Clock.Now()
	c := &b.confirmed
	if leading {
		c = &b.living
	}
	if !c.isCurrent(b.changes, now) {
		*c = b.combinedDigest(leading, now)
	}
	return uint64(memberDigest(b.self) ^ c.digest)
}

func (b *Heartbeater) combinedDigest(leading bool, now timekeeper.Millis) cachedDigest {
	c := cachedDigest{cacheKey: b.newCacheKey(now)}
	for _, k := range b.members {
		expiry := k.lastAlive + MemberTimeout
		if !leading {
			expiry = k.expiry()
		}
		if now < expiry {
			c.digest ^= k.digest
			c.until = min(c.until, expiry)
		}
	}
	return c
}

// newCacheKey returns the key of what is computed now, before the members that limit it are known.
func (b *Heartbeater) newCacheKey(now timekeeper.Millis) cacheKey {
	return cacheKey{changes: b.changes, until: now + MemberTimeout}
}

// isCurrent reports whether what was computed is up to date. What was never computed is not.
func (k cacheKey) isCurrent(changes uint64, now timekeeper.Millis) bool {
	return k.until > 0 && k.changes == changes && now < k.until
}

// expiry returns the time until which the member is considered alive.
func (k *knownMember) expiry() timekeeper.Millis {
	return max(k.lastAlive, k.confirmed) + MemberTimeout
}
