package heartbeater

import (
	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// AnnounceSuspects tells the other members of all regions what this one found out.
func (b *Beater) AnnounceSuspects(list []quarantiner.Suspect) {
	self := b.Self()
	packed := quarantiner.Pack(list)
	b.everywhere(self,
		&Datagram{Suspects: &Suspects{Packed: packed, Beats: self.Beats}},
		&Datagram{Suspects: &Suspects{Packed: packed, Beats: self.Beats, PassOn: true}})
}

// suspectsHeard takes what another member knows, passes it on as a lead is asked to, and
// answers with what is newer here.
func (b *Beater) suspectsHeard(m *Suspects) {
	list, err := quarantiner.Unpack(m.Packed)
	if err != nil || b.Quarantine == nil {
		return // it may come from another version
	}
	adopted, newer := b.Quarantine.Learn(list)
	if len(adopted) > 0 && b.Suspected != nil {
		b.Suspected(adopted)
	}
	if m.PassOn {
		b.passOn(&Datagram{Suspects: &Suspects{Packed: m.Packed}})
	}
	if len(newer) > 0 && m.Beats != "" {
		b.send([]string{m.Beats}, &Datagram{Suspects: &Suspects{Packed: quarantiner.Pack(newer)}})
	}
}

// compareSuspects tells the sender of a heartbeat of the suspects here if it knows others.
// That mends lost datagrams, and is how a member learns of them that just started or was cut
// off.
func (b *Beater) compareSuspects(m *Beat) {
	if b.Quarantine == nil || m.Suspects == b.Quarantine.Digest() {
		return
	}
	if all := b.Quarantine.All(); len(all) > 0 {
		b.send([]string{m.From.Beats}, &Datagram{Suspects: &Suspects{Packed: quarantiner.Pack(all), Beats: b.Self().Beats}})
	}
}

func (b *Beater) suspectDigest() uint64 {
	if b.Quarantine == nil {
		return 0
	}
	return b.Quarantine.Digest()
}
