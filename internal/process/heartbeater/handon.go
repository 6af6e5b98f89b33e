package heartbeater

import (
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// longDatagram is the size in bytes from which only the strongest members of a domain hand a datagram
// on: a narrow link takes a second for some dozens of complete lists.
const longDatagram = 2 << 10

// sendRegion sends a datagram to the other members of the region: directly to those of this
// member's failure domain, and once into each other domain, where a member hands it on. A domain
// without a member that does so gets it directly.
//
// A datagram is lost for a domain if the member that hands it on dies meanwhile. It is therefore
// used only for what receivers find missing by other means, or can do without.
func (b *Heartbeater) sendRegion(self Member, d *Datagram) {
	b.lock.Lock()
	direct, delegates := b.spread(self, proto.Size(d) >= longDatagram)
	b.lock.Unlock()
	b.send(direct, d)
	if len(delegates) > 0 {
		d.HandOn = true
		b.send(delegates, d)
	}
}

// spread returns the addresses of the members that get a datagram to the region directly, and of
// those that hand it on in their failure domains. long is set for a long datagram. The caller must
// hold the lock.
func (b *Heartbeater) spread(self Member, long bool) (direct, delegates []string) {
	domains := map[registrar.Site][]*knownMember{}
	for _, k := range b.regions[self.Site.Region()] {
		domains[k.Site] = append(domains[k.Site], k)
	}
	for site, members := range domains {
		if k := b.delegate(self, members, long); site != self.Site && k != nil {
			delegates = append(delegates, k.Beats)
			continue
		}
		for _, k := range members {
			direct = append(direct, k.Beats)
		}
	}
	return direct, delegates
}

// delegate returns the member that hands on what self sends into its failure domain, or nil if none
// does or it is the only one. Members have different delegates, so that the loss of one concerns
// few of them. The caller must hold the lock.
func (b *Heartbeater) delegate(self Member, members []*knownMember, long bool) *knownMember {
	if b.NoHandOn || len(members) < 2 {
		return nil
	}
	now := b.Clock.Now()
	var best *knownMember
	var highest hasher.Hash
	for _, k := range members {
		if !k.HandsOn || k.Leaving || !k.isAlive(now) {
			continue
		}
		h := hasher.Mix(k.nameHash, hasher.OfString(self.Name))
		stronger := long && best != nil && k.Strength != best.Strength
		if best == nil || stronger && k.Strength > best.Strength || !stronger && h > highest {
			best, highest = k, h
		}
	}
	return best
}

// handOn sends a datagram of another failure domain to the other members of this one.
func (b *Heartbeater) handOn(d *Datagram) {
	self := b.Self()
	b.lock.Lock()
	var to []string
	for _, k := range b.regions[self.Site.Region()] {
		if k.Site == self.Site {
			to = append(to, k.Beats)
		}
	}
	b.lock.Unlock()
	d.HandOn = false
	b.send(to, d)
}
