package heartbeater

import (
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// AnnounceSuspects sends suspects found by this member to the other members of all regions.
func (b *Heartbeater) AnnounceSuspects(list []quarantiner.Suspect) {
	self := b.Self()
	packed := quarantiner.Pack(list)
	b.broadcast(self,
		&Datagram{Suspects: &Suspects{Packed: packed, Beats: self.Beats}},
		&Datagram{Suspects: &Suspects{Packed: packed, Beats: self.Beats, PassOn: true}})
}

// handleSuspects records suspects sent by another member, forwards them to the members of this
// region if asked to, and replies with those that are newer here.
func (b *Heartbeater) handleSuspects(m *Suspects) {
	list, err := quarantiner.Unpack(m.Packed)
	if err != nil || b.Quarantine == nil {
		return // the datagram may come from another version
	}
	adopted, newer := b.Quarantine.Merge(list)
	if len(adopted) > 0 && b.OnSuspects != nil {
		b.OnSuspects(adopted)
	}
	if m.PassOn {
		b.forward(&Datagram{Suspects: &Suspects{Packed: m.Packed}})
	}
	if len(newer) > 0 && m.Beats != "" {
		b.send([]string{m.Beats}, &Datagram{Suspects: &Suspects{Packed: quarantiner.Pack(newer)}})
	}
}

// syncSuspects sends the suspects known here to the sender of a heartbeat whose digest
// differs. This makes up for lost datagrams and brings members up to date that have just
// started or were cut off.
func (b *Heartbeater) syncSuspects(m *Beat) {
	if b.Quarantine == nil || m.Suspects == b.Quarantine.Digest() {
		return
	}
	if all := b.Quarantine.Suspects(); len(all) > 0 {
		b.send([]string{m.From.Beats}, &Datagram{Suspects: &Suspects{Packed: quarantiner.Pack(all), Beats: b.Self().Beats}})
	}
}

func (b *Heartbeater) suspectDigest() uint64 {
	if b.Quarantine == nil {
		return 0
	}
	return b.Quarantine.Digest()
}
