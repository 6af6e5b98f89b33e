package heartbeater

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// rows returns the rows of the living members of a region, or of all regions if it is "".
func (b *Heartbeater) rows(region string) (rows []*Row) {
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.lastAlive < MemberTimeout && (region == "" || k.region == region) {
			rows = append(rows, row(k.Member, now-k.lastAlive))
		}
	}
	return rows
}

// remoteRows returns the rows of members of other regions that sent this one a heartbeat: the
// leader may not know them.
func (b *Heartbeater) remoteRows() (rows []*Row) {
	now, own := b.Clock.Now(), b.self.Site.Region()
	for _, k := range b.members {
		if k.region != own && k.lastHeartbeat > 0 && now-k.lastHeartbeat < MemberTimeout {
			rows = append(rows, row(k.Member, now-k.lastHeartbeat))
		}
	}
	return rows
}

func (b *Heartbeater) watermarks() (watermarks []*Mark) {
	if b.Watermarks == nil {
		return nil
	}
	for k, p := range b.Watermarks() {
		revision, era := splitPosition(p)
		watermarks = append(watermarks, &Mark{Kind: k, Revision: revision, Era: era})
	}
	return watermarks
}

// send sends a datagram once to each address, with the digests of known suspects and departures
// if it is a heartbeat.
func (b *Heartbeater) send(to []string, d *Datagram) {
	if len(to) == 0 {
		return
	}
	if d.Beat != nil {
		d.Beat.Suspects = b.suspectDigest()
		d.Beat.Departures = b.departureDigest()
	}
	body, err := proto.Marshal(d)
	if err != nil {
		return
	}
	slices.Sort(to)
	for _, a := range slices.Compact(to) {
		b.Send(a, body)
		b.reportTraffic(a, Traffic{Purpose: d.purpose(), Sent: int64(len(body))})
	}
}

// splitPosition splits a position, which holds an era above RevisionBits bits of revision. They are
// sent apart, since versions without eras read the revision.
func splitPosition(p uint64) (revision uint64, era uint32) {
	return p & (1<<RevisionBits - 1), uint32(p >> RevisionBits)
}

func joinPosition(revision uint64, era uint32) uint64 {
	return uint64(era)<<RevisionBits | revision&(1<<RevisionBits-1)
}

func row(m Member, age timekeeper.Millis) *Row {
	return &Row{
		Name:          m.Name,
		Incarnation:   m.Incarnation,
		Site:          string(m.Site),
		Front:         m.Front,
		Beats:         m.Beats,
		Ready:         m.Ready,
		Leaving:       m.Leaving,
		Reaching:      m.Reaching,
		AgeMillis:     uint32(max(age, 0)),
		Strength:      m.Strength,
		ConfigVersion: m.ConfigVersion,
		Relays:        m.Relays,
		Cut:           m.Cut,
		HandsOn:       m.HandsOn,
	}
}

func memberOf(r *Row) Member {
	return Member{
		Name:          r.Name,
		Incarnation:   r.Incarnation,
		Site:          registrar.Site(r.Site),
		Front:         r.Front,
		Beats:         r.Beats,
		Ready:         r.Ready,
		Leaving:       r.Leaving,
		Reaching:      r.Reaching,
		Strength:      r.Strength,
		ConfigVersion: r.ConfigVersion,
		Relays:        r.Relays,
		Cut:           r.Cut,
		HandsOn:       r.HandsOn,
	}
}
