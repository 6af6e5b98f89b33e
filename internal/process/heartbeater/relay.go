package heartbeater

import (
	"github.com/gullvale/gullvale/internal/request/assigner"
)

// Relay sends changes to the other members of the region if this one leads it.
func (b *Heartbeater) Relay(c Changes) {
	self := b.Self()
	b.lock.Lock()
	if b.leader(self) != nil {
		b.lock.Unlock()
		return
	}
	b.lock.Unlock()
	b.sendRegion(self, &Datagram{Relay: relayOf(c)})
}

// Ask asks the leader of the region for the changes of a kind after a revision. It reports
// false if this member leads itself.
func (b *Heartbeater) Ask(kind string, from uint64) bool {
	self := b.Self()
	b.lock.Lock()
	leader := b.leader(self)
	if leader == nil {
		b.lock.Unlock()
		return false
	}
	to := leader.Beats
	b.lock.Unlock()
	revision, era := splitPosition(from)
	b.send([]string{to}, &Datagram{Ask: &Ask{Kind: kind, From: revision, Era: era, Beats: self.Beats}})
	return true
}

// handleAsk sends the changes that a member asked for.
func (b *Heartbeater) handleAsk(m *Ask) {
	if b.ChangesAfter == nil {
		return
	}
	for _, c := range b.ChangesAfter(m.Kind, joinPosition(m.From, m.Era)) {
		b.send([]string{m.Beats}, &Datagram{Relay: relayOf(c)})
	}
}

func relayOf(c Changes) *Relay {
	r := &Relay{Kind: c.Kind, Complete: c.Complete, Omitted: len(c.Body) > MaxRelayBytes}
	r.From, r.FromEra = splitPosition(c.From)
	r.To, r.ToEra = splitPosition(c.To)
	if !r.Omitted {
		r.Changes = c.Body
	}
	return r
}

func changesOf(r *Relay) Changes {
	return Changes{
		Kind: r.Kind, From: joinPosition(r.From, r.FromEra), To: joinPosition(r.To, r.ToEra),
		Body: r.Changes, Omitted: r.Omitted, Complete: r.Complete,
	}
}

// Announce sends homes of keys to the other members of the region.
func (b *Heartbeater) Announce(list []assigner.Assignment) {
	b.sendRegion(b.Self(), &Datagram{Homes: homesOf(list)})
}

// broadcast sends near to the other members of this region, and far to the first members of
// the other regions. far must ask them to forward it.
func (b *Heartbeater) broadcast(self Member, near, far *Datagram) {
	b.lock.Lock()
	to, toFar := b.regionTargets(self.Site.Region()), b.remoteTargets(self.Site.Region())
	b.lock.Unlock()
	b.send(to, near)
	b.send(toFar, far)
}

// forward forwards a datagram from another region to the members of this one if this member
// leads it.
func (b *Heartbeater) forward(d *Datagram) {
	self := b.Self()
	b.lock.Lock()
	var to []string
	if b.leader(self) == nil {
		to = b.regionTargets(self.Site.Region())
	}
	b.lock.Unlock()
	b.send(to, d)
}
