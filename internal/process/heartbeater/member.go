package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// lives tells whether the member is taken for living.
func (k *known) lives(now timekeeper.Millis) bool {
	return now-max(k.heard, k.vouched) < GoneAfter
}

// expire takes all members for gone that were not heard directly, since a table of
// the living follows. The caller holds the lock.
func (b *Beater) expire(now timekeeper.Millis) {
	for _, k := range b.members {
		if now-k.direct >= GoneAfter || k.direct == 0 {
			k.heard = min(k.heard, now-GoneAfter)
			k.vouched = k.heard
		}
	}
}

// vouch takes the lead's word that all whom this member takes for living live. The
// caller holds the lock.
func (b *Beater) vouch(now timekeeper.Millis) {
	for _, k := range b.members {
		if k.lives(now) {
			k.vouched = now
		}
	}
}

// digest stands for the members that live and what they say of themselves. A lead
// counts only whom it heard. The caller holds the lock.
func (b *Beater) digest(leading bool) uint64 {
	now := b.Clock.Now()
	d := digestOf(b.self)
	for _, k := range b.members {
		if now-k.heard < GoneAfter || !leading && k.lives(now) {
			d ^= digestOf(k.Member)
		}
	}
	return uint64(d)
}

func digestOf(m Member) hasher.Hash {
	state := hasher.Hash(m.Incarnation)
	for _, flag := range []bool{m.Ready, m.Leaving, m.Reaching} {
		state <<= 1
		if flag {
			state++
		}
	}
	return hasher.Mix(hasher.OfString(m.Name), state)
}

// note records that a member lived at some moment. The caller holds the lock.
func (b *Beater) note(r *Row, heard timekeeper.Millis) *known {
	if r.Name == "" || r.Name == b.self.Name {
		return nil
	}
	k := b.members[r.Name]
	if k == nil {
		return b.put(memberOf(r), heard)
	}
	if heard >= k.heard {
		delete(b.sites, k.Beats)
		k.Member, k.heard = memberOf(r), heard
		b.sites[k.Beats] = k.Site
	}
	return k
}

func (b *Beater) put(m Member, heard timekeeper.Millis) *known {
	if b.members == nil {
		b.members = map[string]*known{}
		b.sites = map[string]registrar.Site{}
	}
	k := &known{Member: m, order: hasher.OfString(m.Name), heard: heard}
	b.members[m.Name] = k
	b.sites[m.Beats] = m.Site
	return k
}

func (b *Beater) forget() {
	now := b.Clock.Now()
	for n, k := range b.members {
		if now-max(k.heard, k.vouched) > forgetAfter {
			delete(b.members, n)
			delete(b.sites, k.Beats)
		}
	}
}
