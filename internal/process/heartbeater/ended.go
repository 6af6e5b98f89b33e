package heartbeater

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// AnnounceEnded tells the other members of all regions of an upstream that has ended.
func (b *Beater) AnnounceEnded(i cataloger.Incarnation) {
	m := &Ended{Upstreams: []string{string(i.ID)}, Born: []int64{int64(i.Born)}}
	far := &Ended{Upstreams: m.Upstreams, Born: m.Born, PassOn: true}
	b.everywhere(b.Self(), &Datagram{Ended: m}, &Datagram{Ended: far})
}

// endedHeard takes what another member announced, and passes it on as a lead is asked to.
func (b *Beater) endedHeard(m *Ended) {
	if b.Ended != nil {
		for _, i := range incarnations(m) {
			b.Ended(i)
		}
	}
	if m.PassOn {
		b.passOn(&Datagram{Ended: &Ended{Upstreams: m.Upstreams, Born: m.Born}})
	}
}

func incarnations(m *Ended) (list []cataloger.Incarnation) {
	for n := range min(len(m.Upstreams), len(m.Born)) {
		list = append(list, cataloger.Incarnation{ID: cataloger.UpstreamID(m.Upstreams[n]), Born: timekeeper.Millis(m.Born[n])})
	}
	return list
}
