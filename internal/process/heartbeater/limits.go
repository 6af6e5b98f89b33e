package heartbeater

import (
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Census returns what this member knows of those who share limits with it.
func (b *Beater) Census() limiter.Census {
	self := b.Self()
	now := b.Clock.Now()
	b.lock.Lock()
	defer b.lock.Unlock()
	c := limiter.Census{Known: 1, Near: 1}
	hears := false
	for _, k := range b.members {
		lives := now-max(k.heard, k.vouched) < leadSilence
		if k.Leaving && !lives {
			continue // it ended in order and sends nothing any more
		}
		c.Known++
		hears = hears || lives
		if lives && k.Site.Region() == self.Site.Region() {
			c.Near++
		}
	}
	c.Alone = c.Known > 1 && !hears
	c.Others = b.leadsOf(self.Site.Region())
	if lead := b.lead(self); lead != nil {
		c.Lead = lead.Beats
		return c
	}
	c.Leads = true
	return c
}

// leadsOf returns the addresses of the leads of the other regions. The caller holds the lock.
func (b *Beater) leadsOf(region string) (to []string) {
	best := map[string]*known{}
	now := b.Clock.Now()
	for _, k := range b.members {
		r := k.Site.Region()
		if r == region || !k.lives(now) {
			continue
		}
		if l := best[r]; l == nil || before(k.Member, k.order, l.Member, l.order) {
			best[r] = k
		}
	}
	for _, k := range best {
		to = append(to, k.Beats)
	}
	return to
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
