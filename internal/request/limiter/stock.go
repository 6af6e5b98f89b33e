package limiter

import (
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// Patience is how long a request waits for one daemon that counts before it asks another
	// one: longer than that one waits for other regions.
	Patience = 160 * timekeeper.Millis(1)

	// deniedTime is how long a daemon refuses by itself after it was told that there is no
	// token: it asks again once in that time for all.
	deniedTime = 200 * timekeeper.Millis(1)

	// unknownAfter is when a caller may come back, to another daemon if it can, whose
	// organisation's use is not known here.
	unknownAfter = 250 * timekeeper.Millis(1)

	// partDelay is how long a daemon uses nothing of its own part: those who count hand it out
	// until they have missed the daemon.
	partDelay = 1600 * timekeeper.Millis(1)

	// ownAgain is how long a daemon goes on with the buckets of its own part that it had before
	// it heard from one that counts.
	ownAgain = 5 * timekeeper.Second
)

// stock is a daemon's tokens of one organisation.
type stock struct {
	demand  demand
	tokens  int
	until   timekeeper.Millis
	waiting []*Ticket

	// number is that of the question under way, asked when it was sent, 0 for none.
	number uint32
	asked  timekeeper.Millis

	// deniedUntil is until when requests are refused without a question, next when the last
	// of them may come back, and gap how much later the next one may.
	deniedUntil timekeeper.Millis
	next        timekeeper.Millis
	gap         timekeeper.Millis

	// own is the bucket that is used while nobody who counts is heard, and ownSince when the
	// daemon began to use its own part.
	own      bucket
	ownSince timekeeper.Millis
	used     timekeeper.Millis
}

// stock returns this daemon's stock of an organisation, without what has lapsed.
func (c *Core) stock(o *authenticator.Organisation, now timekeeper.Millis) *stock {
	if c.stocks == nil {
		c.stocks = map[hasher.Hash]*stock{}
	}
	s := c.stocks[o.Hash()]
	if s == nil {
		s = &stock{}
		c.stocks[o.Hash()] = s
	}
	s.used = now
	if now >= s.until {
		s.tokens = 0
	}
	return s
}

// ask decides a request by what this daemon has, or lets it wait for an answer.
func (c *Core) ask(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) {
	s := c.stock(o, now)
	s.demand.note(now, 1)
	switch {
	case s.tokens > 0:
		s.tokens--
		t.Verdict = Verdict{Outcome: Admitted}
		if float64(s.tokens) < s.demand.rate(now)*seconds(lowWater) && s.advance(now) > 0 {
			c.question(now, o, s)
		}
		return
	case now < s.deniedUntil:
		t.Verdict = s.deny(now)
		return
	}
	s.waiting = append(s.waiting, t)
	c.question(now, o, s)
}

// advance is how many tokens are drawn before requests need them.
func (s *stock) advance(now timekeeper.Millis) int {
	return int(s.demand.rate(now) * seconds(ahead))
}

// question asks whoever counts for tokens unless an answer is under way.
func (c *Core) question(now timekeeper.Millis, o *authenticator.Organisation, s *stock) {
	if s.asked > 0 && now-s.asked < Patience || len(c.counters) == 0 {
		return
	}
	if now-c.passed >= firstAgain {
		c.turn = 0
	}
	c.number++
	s.number, s.asked = c.number, now
	need := len(s.waiting)
	c.send(c.counters[c.turn%len(c.counters)], Message{
		Kind: Draw, Organisation: o.Hash(), Number: s.number,
		Tokens: uint32(need + s.advance(now)), Need: uint32(need),
	})
}

// granted takes an answer. One to another question than the last is dropped, and its
// tokens with it.
func (c *Core) granted(now timekeeper.Millis, m Message) {
	o := c.limited(m.Organisation)
	if o == nil {
		return
	}
	s := c.stock(o, now)
	if s.asked == 0 || s.number != m.Number || now-s.asked >= Patience {
		return
	}
	c.deaf = 0
	if until := s.asked + c.Tolerance.lifetime(o.Limit); s.tokens == 0 || until < s.until {
		s.until = until
	}
	s.tokens += int(m.Tokens)
	s.asked = 0
	s.serve()
	if m.After > 0 {
		s.deniedUntil, s.next, s.gap = now+min(m.After, deniedTime), now+m.After-m.Gap, m.Gap
		s.denyWaiting(now)
		return
	}
	if len(s.waiting) > 0 {
		c.question(now, o, s)
	}
}

// serve admits those who wait, in their order.
func (s *stock) serve() {
	n := min(len(s.waiting), s.tokens)
	for _, t := range s.waiting[:n] {
		t.decide(Verdict{Outcome: Admitted})
	}
	s.tokens -= n
	s.waiting = s.waiting[n:]
}

func (s *stock) denyWaiting(now timekeeper.Millis) {
	for _, t := range s.waiting {
		t.decide(s.deny(now))
	}
	s.waiting = nil
}

// deny refuses a request, and lets its caller come back after those refused before.
func (s *stock) deny(now timekeeper.Millis) Verdict {
	s.next = min(max(s.next, now)+s.gap, now+mostAfter)
	return Verdict{Outcome: Over, After: max(s.next-now, leastAfter)}
}

// spend decides a request by this daemon's own part of the limit.
func (c *Core) spend(now timekeeper.Millis, o *authenticator.Organisation, s *stock) Verdict {
	t := c.terms(o, c.census.own())
	if c.ownSince == 0 || now-c.ownUsed > ownAgain {
		c.ownSince = now + partDelay
	}
	c.ownUsed = now
	if s.ownSince != c.ownSince {
		s.own, s.ownSince = bucket{at: c.ownSince}, c.ownSince
	}
	s.own.refill(now, t)
	if s.own.issue(now, 1, 1, t) == 0 {
		return Verdict{Outcome: Unknown, After: unknownAfter}
	}
	return Verdict{Outcome: Admitted}
}
