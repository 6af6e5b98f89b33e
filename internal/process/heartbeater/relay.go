package heartbeater

import (
	"github.com/gullvale/gullvale/internal/request/assigner"
)

// Relay hands changes on to the other members of the region if this one leads.
func (b *Beater) Relay(c Changes) {
	self := b.Self()
	b.lock.Lock()
	if b.lead(self) != nil {
		b.lock.Unlock()
		return
	}
	to := b.region(self.Site.Region())
	b.lock.Unlock()
	b.send(to, &Datagram{Relay: relayOf(c)})
}

// Ask asks the lead of the region for what was missed, and tells whether there is
// one.
func (b *Beater) Ask(kind string, from uint64) bool {
	self := b.Self()
	b.lock.Lock()
	lead := b.lead(self)
	b.lock.Unlock()
	if lead == nil {
		return false
	}
	b.send([]string{lead.Beats}, &Datagram{Ask: &Ask{Kind: kind, From: from, Beats: self.Beats}})
	return true
}

func (b *Beater) asked(m *Ask) {
	if b.Missed == nil {
		return
	}
	for _, c := range b.Missed(m.Kind, m.From) {
		b.send([]string{m.Beats}, &Datagram{Relay: relayOf(c)})
	}
}

func relayOf(c Changes) *Relay {
	if len(c.Body) > MaxRelayBytes {
		return &Relay{Kind: c.Kind, From: c.From, To: c.To, Omitted: true}
	}
	return &Relay{Kind: c.Kind, From: c.From, To: c.To, Changes: c.Body}
}

// Announce tells the other members of the region where keys live.
func (b *Beater) Announce(list []assigner.Assignment) {
	self := b.Self()
	b.lock.Lock()
	to := b.region(self.Site.Region())
	b.lock.Unlock()
	b.send(to, &Datagram{Homes: homesOf(list)})
}

// everywhere sends a datagram to the other members of this region, and another one to the
// leads of the others, which is to ask them to pass it on.
func (b *Beater) everywhere(self Member, near, far *Datagram) {
	b.lock.Lock()
	to, toFar := b.region(self.Site.Region()), b.elsewhere(self.Site.Region())
	b.lock.Unlock()
	b.send(to, near)
	b.send(toFar, far)
}

// passOn sends a datagram from another region to the members of this one if this member
// leads it.
func (b *Beater) passOn(d *Datagram) {
	self := b.Self()
	b.lock.Lock()
	var to []string
	if b.lead(self) == nil {
		to = b.region(self.Site.Region())
	}
	b.lock.Unlock()
	b.send(to, d)
}
