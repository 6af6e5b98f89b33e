package heartbeater

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxKnownDepartures is the maximum number of hashes in a query, which take 8 bytes each.
	maxKnownDepartures = 4096
	// maxSyncedDepartures is the maximum number of departures in the response to a query, which
	// take some 60 bytes each.
	maxSyncedDepartures = 256
)

// AnnounceLeaving announces upstreams that leave to the other members of all regions.
func (b *Heartbeater) AnnounceLeaving(list []cataloger.Departure) {
	m := departuresOf(list)
	far := &Departures{Upstreams: m.Upstreams, PassOn: true}
	b.broadcast(b.Self(), &Datagram{Departures: m}, &Datagram{Departures: far})
}

// syncDepartures asks the sender of a heartbeat whose digest differs for the announced departures
// that are not known here. This makes up for lost announcements and brings members up to date
// that have just started or were unknown to the member that announced.
func (b *Heartbeater) syncDepartures(m *Beat) {
	own := b.departureDigest()
	if own == nil || m.Departures == nil || *own == *m.Departures {
		return
	}
	q := &DepartureQuery{Beats: b.Self().Beats}
	for _, d := range b.Catalog().AnnouncedDepartures() {
		q.Known = append(q.Known, uint64(d.Hash()))
	}
	q.Known = q.Known[:min(len(q.Known), maxKnownDepartures)]
	b.send([]string{m.From.Beats}, &Datagram{DepartureQuery: q})
}

// handleDepartureQuery sends announced departures that the sender of a query does not know. It
// gets the rest of many after its next heartbeats.
func (b *Heartbeater) handleDepartureQuery(q *DepartureQuery) {
	if b.Catalog == nil || q.Beats == "" {
		return
	}
	known := map[uint64]bool{}
	for _, h := range q.Known {
		known[h] = true
	}
	var missing []cataloger.Departure
	for _, d := range b.Catalog().AnnouncedDepartures() {
		if !known[uint64(d.Hash())] && len(missing) < maxSyncedDepartures {
			missing = append(missing, d)
		}
	}
	if len(missing) > 0 {
		b.send([]string{q.Beats}, &Datagram{Departures: departuresOf(missing)})
	}
}

// departureDigest returns the digest of the announced departures known here, or nil if no
// upstreams are.
func (b *Heartbeater) departureDigest() *uint64 {
	if b.Catalog == nil {
		return nil
	}
	if digest, known := b.Catalog().AnnouncedDigest(); known {
		return &digest
	}
	return nil
}

func departuresOf(list []cataloger.Departure) *Departures {
	m := &Departures{}
	for _, d := range list {
		m.Upstreams = append(m.Upstreams, &Departure{ID: string(d.ID), Born: int64(d.Born), Address: d.Address})
	}
	return m
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
