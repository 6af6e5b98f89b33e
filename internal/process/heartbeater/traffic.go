package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/registrar"
)

// The purposes of datagrams.
const (
	BeatPurpose       Purpose = "beat"
	RelayPurpose      Purpose = "relay"
	HomesPurpose      Purpose = "homes"
	AskPurpose        Purpose = "ask"
	TerminatedPurpose Purpose = "ended"
	LeavingPurpose    Purpose = "leaving"
	SuspectPurpose    Purpose = "suspects"
	TokensPurpose     Purpose = "tokens"
	UnknownPurpose    Purpose = "unknown datagram"
)

type (
	// Purpose is what a datagram is for.
	Purpose string

	// Traffic counts bytes between this member and another.
	Traffic struct {
		Purpose  Purpose
		Distance registrar.Distance
		Sent     int64
		Received int64
	}
)

// purpose returns what the datagram is for.
func (d *Datagram) purpose() Purpose {
	switch {
	case d.Beat != nil:
		return BeatPurpose
	case d.Relay != nil:
		return RelayPurpose
	case d.Homes != nil:
		return HomesPurpose
	case d.Ask != nil:
		return AskPurpose
	case d.Ended != nil:
		return TerminatedPurpose
	case d.Departures != nil, d.DepartureQuery != nil:
		return LeavingPurpose
	case d.Suspects != nil:
		return SuspectPurpose
	case d.Tokens != nil:
		return TokensPurpose
	}
	return UnknownPurpose
}

// reportTraffic adds the distance of the address to t and reports it to OnTraffic.
func (b *Heartbeater) reportTraffic(address string, t Traffic) {
	if b.OnTraffic == nil {
		return
	}
	t.Distance = b.distance(address)
	b.OnTraffic(t)
}

// distance returns the distance to the member with a datagram address.
func (b *Heartbeater) distance(address string) registrar.Distance {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.self.Site.Distance(b.sites[address])
}
