package heartbeater

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// rows describes the living members of a region, of all with "".
func (b *Beater) rows(region string) (rows []*Row) {
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.heard < GoneAfter && (region == "" || k.Site.Region() == region) {
			rows = append(rows, row(k.Member, now-k.heard))
		}
	}
	return rows
}

// visitors are the members of other regions that were heard directly: the lead may
// not know them.
func (b *Beater) visitors() (rows []*Row) {
	now := b.Clock.Now()
	for _, k := range b.members {
		if k.Site.Region() != b.self.Site.Region() && k.direct > 0 && now-k.direct < GoneAfter {
			rows = append(rows, row(k.Member, now-k.direct))
		}
	}
	return rows
}

func (b *Beater) marks() (marks []*Mark) {
	if b.Marks == nil {
		return nil
	}
	for k, r := range b.Marks() {
		marks = append(marks, &Mark{Kind: k, Revision: r})
	}
	return marks
}

func (b *Beater) send(to []string, d *Datagram) {
	if len(to) == 0 {
		return
	}
	if d.Beat != nil {
		d.Beat.Suspects = b.suspectDigest()
	}
	body, err := proto.Marshal(d)
	if err != nil {
		return
	}
	slices.Sort(to)
	for _, a := range slices.Compact(to) {
		b.Send(a, body)
		b.count(a, Traffic{Purpose: d.purpose(), Sent: int64(len(body))})
	}
}

func row(m Member, age timekeeper.Millis) *Row {
	return &Row{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Site:        string(m.Site),
		Front:       m.Front,
		Beats:       m.Beats,
		Ready:       m.Ready,
		Leaving:     m.Leaving,
		Reaching:    m.Reaching,
		AgeMillis:   uint32(max(age, 0)),
		Strength:    m.Strength,
	}
}

func memberOf(r *Row) Member {
	return Member{
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Site:        registrar.Site(r.Site),
		Front:       r.Front,
		Beats:       r.Beats,
		Ready:       r.Ready,
		Leaving:     r.Leaving,
		Reaching:    r.Reaching,
		Strength:    r.Strength,
	}
}
