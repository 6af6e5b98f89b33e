package heartbeater

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// AnnounceLeaving announces upstreams that leave to the other members of all regions.
func (b *Heartbeater) AnnounceLeaving(list []cataloger.Departure) {
	m := &Departures{}
	for _, d := range list {
		m.Upstreams = append(m.Upstreams, &Departure{ID: string(d.ID), Born: int64(d.Born), Address: d.Address})
	}
	far := &Departures{Upstreams: m.Upstreams, PassOn: true}
	b.broadcast(b.Self(), &Datagram{Departures: m}, &Datagram{Departures: far})
}

// handleLeaving handles an announcement of leaving upstreams and, if asked to, forwards it to the
// members of this region.
func (b *Heartbeater) handleLeaving(m *Departures) {
	if b.OnLeaving != nil {
		b.OnLeaving(departures(m))
	}
	if m.PassOn {
		b.forward(&Datagram{Departures: &Departures{Upstreams: m.Upstreams}})
	}
}

func departures(m *Departures) (list []cataloger.Departure) {
	for _, d := range m.Upstreams {
		list = append(list, cataloger.Departure{
			Incarnation: cataloger.Incarnation{ID: cataloger.UpstreamID(d.ID), Born: timekeeper.Millis(d.Born)},
			Address:     d.Address,
		})
	}
	return list
}
