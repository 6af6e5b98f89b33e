package heartbeater

import (
	"math"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// AnnounceSuspects tells the other members of all regions what this one found out.
func (b *Beater) AnnounceSuspects(list []quarantiner.Suspect) {
	self := b.Self()
	near, far := suspectsOf(list), suspectsOf(list)
	near.Beats, far.Beats, far.PassOn = self.Beats, self.Beats, true
	b.everywhere(self, &Datagram{Suspects: near}, &Datagram{Suspects: far})
}

// suspectsHeard takes what another member knows, passes it on as a lead is asked to, and
// answers with what is newer here.
func (b *Beater) suspectsHeard(m *Suspects) {
	if b.Quarantine == nil {
		return
	}
	adopted, newer := b.Quarantine.Learn(suspectsIn(m))
	if len(adopted) > 0 && b.Suspected != nil {
		b.Suspected(adopted)
	}
	if m.PassOn {
		b.passOn(&Datagram{Suspects: &Suspects{
			Fingerprints: m.Fingerprints, Clearings: m.Clearings, Crashes: m.Crashes, AgeMillis: m.AgeMillis,
		}})
	}
	if len(newer) > 0 && m.Beats != "" {
		b.send([]string{m.Beats}, &Datagram{Suspects: suspectsOf(newer)})
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
		d := suspectsOf(all)
		d.Beats = b.Self().Beats
		b.send([]string{m.From.Beats}, &Datagram{Suspects: d})
	}
}

func (b *Beater) suspectDigest() uint64 {
	if b.Quarantine == nil {
		return 0
	}
	return b.Quarantine.Digest()
}

// EncodeSuspects packs suspects, in some 30 bytes each.
func EncodeSuspects(list []quarantiner.Suspect) ([]byte, error) {
	body, err := proto.Marshal(suspectsOf(list))
	return body, eris.Wrap(err, "suspects")
}

// DecodeSuspects reads what EncodeSuspects packed.
func DecodeSuspects(body []byte) ([]quarantiner.Suspect, error) {
	var m Suspects
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "suspects")
	}
	return suspectsIn(&m), nil
}

func suspectsOf(list []quarantiner.Suspect) *Suspects {
	m := &Suspects{}
	for _, s := range list {
		m.Fingerprints = append(m.Fingerprints, s.Fingerprint[:])
		m.Clearings = append(m.Clearings, s.Clearings)
		m.Crashes = append(m.Crashes, s.Crashes)
		m.AgeMillis = append(m.AgeMillis, uint32(min(max(s.Age, 0), math.MaxUint32)))
	}
	return m
}

// suspectsIn returns those that are whole.
func suspectsIn(m *Suspects) (list []quarantiner.Suspect) {
	for n := range min(len(m.Fingerprints), len(m.Clearings), len(m.Crashes), len(m.AgeMillis)) {
		s := quarantiner.Suspect{
			Clearings: m.Clearings[n], Crashes: m.Crashes[n], Age: timekeeper.Millis(m.AgeMillis[n]),
		}
		if copy(s.Fingerprint[:], m.Fingerprints[n]) == len(s.Fingerprint) {
			list = append(list, s)
		}
	}
	return list
}
