package heartbeater

import (
	"slices"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// census is a limiter.Census that is being made.
type census limiter.Census

// Census returns what this member knows of those who share limits with it.
func (b *Beater) Census() limiter.Census {
	return limiter.Census(b.census())
}

func (b *Beater) census() census {
	self := b.Self()
	now := b.Clock.Now()
	b.lock.Lock()
	defer b.lock.Unlock()
	c := census{Known: 1, Near: 1}
	hears := false
	best := map[string]*known{}
	for _, k := range b.members {
		lives := now-max(k.heard, k.vouched) < leadSilence
		if k.Leaving && !lives {
			continue // it ended in order and sends nothing any more
		}
		c.Known++
		hears = hears || lives
		if !lives {
			continue
		}
		r := k.Site.Region()
		if r == self.Site.Region() {
			c.Near++
		}
		if l := best[r]; l == nil || countsBefore(k.Member, k.order, l.Member, l.order) {
			best[r] = k
		}
	}
	c.Alone = c.Known > 1 && !hears
	c.place(self, best)
	return c
}

// place says who counts, of the best members of each region.
func (c *census) place(self Member, best map[string]*known) {
	own := self.Site.Region()
	if l := best[own]; l != nil && countsBefore(l.Member, l.order, self, hasher.OfString(self.Name)) {
		c.Counter = l.Beats
	}
	c.Counts = c.Counter == ""
	for r, l := range best {
		if r != own {
			c.Others = append(c.Others, l.Beats)
		}
	}
	slices.Sort(c.Others)
}

// countsBefore orders members by who counts for limits. To count needs no store: while it is
// away, members differ in who still reaches it, and so in who leads.
func countsBefore(x Member, xo hasher.Hash, y Member, yo hasher.Hash) bool {
	x.Reaching, y.Reaching = true, true
	return before(x, xo, y, yo)
}

// SendLimit sends a message about limits.
func (b *Beater) SendLimit(e limiter.Envelope) {
	b.send([]string{e.To}, &Datagram{Tokens: &Tokens{
		Kind: uint32(e.Kind), Organisation: uint64(e.Organisation), Number: e.Number, Count: e.Tokens, Need: e.Need,
		AfterMillis: uint32(e.After), GapMillis: uint32(e.Gap),
	}})
}

func limitMessage(m *Tokens) limiter.Message {
	return limiter.Message{
		Kind: limiter.Kind(m.Kind), Organisation: hasher.Hash(m.Organisation), Number: m.Number, Tokens: m.Count, Need: m.Need,
		After: timekeeper.Millis(m.AfterMillis), Gap: timekeeper.Millis(m.GapMillis),
	}
}
