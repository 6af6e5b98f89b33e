package heartbeater

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// AnnounceTerminated announces a terminated incarnation of an upstream to the other members of
// all regions.
func (b *Heartbeater) AnnounceTerminated(i cataloger.Incarnation) {
	m := &Ended{Upstreams: []string{string(i.ID)}, Born: []int64{int64(i.Born)}}
	far := &Ended{Upstreams: m.Upstreams, Born: m.Born, PassOn: true}
	b.broadcast(b.Self(), &Datagram{Ended: m}, &Datagram{Ended: far})
}

// handleTerminated handles an announcement of terminated upstreams and, if asked to, forwards
// it to the members of this region.
func (b *Heartbeater) handleTerminated(m *Ended) {
	if b.OnTerminated != nil {
		for _, i := range incarnations(m) {
			b.OnTerminated(i)
		}
	}
	if m.PassOn {
		b.forward(&Datagram{Ended: &Ended{Upstreams: m.Upstreams, Born: m.Born}})
	}
}

func incarnations(m *Ended) (list []cataloger.Incarnation) {
	for n := range min(len(m.Upstreams), len(m.Born)) {
		list = append(list, cataloger.Incarnation{ID: cataloger.UpstreamID(m.Upstreams[n]), Born: timekeeper.Millis(m.Born[n])})
	}
	return list
}
