package limiter

import (
	"maps"
	"slices"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// firstAgain is how long the counter of the region is passed over that did not answer.
	firstAgain = 2 * timekeeper.Second

	// idleTime is how long an organisation without requests is remembered.
	idleTime = timekeeper.Minute
)

// Core decides which requests are within the limits. All its methods take the time, and
// return what is to be sent; it is not safe for use by several goroutines. Tolerance and
// Organisation must be set before use.
type Core struct {
	Tolerance Tolerance
	// Organisation returns the one whose name has a hash, by the configuration in force,
	// nil for none.
	Organisation func(hasher.Hash) *authenticator.Organisation

	census        Census
	countingSince timekeeper.Millis
	// counters are whom tokens are drawn from: the one of the region, then the others. Turn
	// says which of them is asked, and deaf how many questions in a row were not answered.
	counters []string
	turn     int
	deaf     int
	// passed is when the counter of the region was passed over.
	passed timekeeper.Millis
	// ownSince is when this daemon began to use its own parts, and ownUsed when it last did.
	ownSince timekeeper.Millis
	ownUsed  timekeeper.Millis
	accounts map[hasher.Hash]*account
	stocks   map[hasher.Hash]*stock
	number   uint32
	out      []Envelope
}

// Observe takes what is known of the fleet now.
func (c *Core) Observe(now timekeeper.Millis, n Census) {
	counted := c.counts()
	if n.Counter != c.census.Counter {
		c.turn, c.deaf = 0, 0
	}
	c.census = n
	c.counters = c.counters[:0]
	if n.Counter != "" {
		c.counters = append(append(c.counters, n.Counter), n.Others...)
	}
	if c.counts() == counted {
		return
	}
	c.accounts, c.countingSince = nil, now
	if c.counts() {
		c.accounts = map[hasher.Hash]*account{}
	}
}

// Take asks for a token. The ticket may have to wait.
func (c *Core) Take(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) []Envelope {
	switch {
	case o.Limit.Unlimited():
		t.Verdict = Verdict{Outcome: Admitted}
	case c.counts():
		c.drawn(now, o, draw{ticket: t, want: 1, need: 1})
	case c.census.Alone || len(c.counters) == 0:
		t.Verdict = c.spend(now, o, c.stock(o, now))
	case c.deaf >= len(c.counters):
		s := c.stock(o, now)
		t.Verdict = c.spend(now, o, s)
		c.lookOn(now, s)
		c.question(now, o, s)
	default:
		c.ask(now, o, t)
	}
	return c.flush()
}

// Return gives back the token of a request that did not run.
func (c *Core) Return(now timekeeper.Millis, o *authenticator.Organisation) []Envelope {
	if o.Limit.Unlimited() {
		return nil
	}
	if c.counts() {
		c.account(o, now).bucket.level++
		return nil
	}
	s := c.stock(o, now)
	if s.tokens == 0 {
		s.until = now + leastLifetime
	}
	s.tokens++
	s.serve()
	return c.flush()
}

// Late goes on with a ticket that has waited for Patience, or since Late did so: it asks
// somebody else who counts, or decides the ticket.
func (c *Core) Late(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) []Envelope {
	if t.Verdict.Outcome != Waiting {
		return nil
	}
	s := c.stock(o, now)
	c.lookOn(now, s)
	if !c.counts() && !c.census.Alone && c.deaf < len(c.counters) && t.late < len(c.counters) {
		t.late++
		if !slices.Contains(s.waiting, t) {
			s.waiting = append(s.waiting, t)
		}
		c.question(now, o, s)
		return c.flush()
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Ticket) bool { return w == t })
	t.decide(c.spend(now, o, s))
	return c.flush()
}

// GiveUp ends the wait of a ticket whose request has ended.
func (c *Core) GiveUp(t *Ticket) {
	t.decide(Verdict{Outcome: Unknown, After: unknownAfter})
}

// lookOn turns to the next one who counts if the last question was not answered.
func (c *Core) lookOn(now timekeeper.Millis, s *stock) {
	if s.asked == 0 || now-s.asked < Patience {
		return
	}
	s.asked = 0
	c.deaf++
	if c.turn == 0 {
		c.passed = now
	}
	c.turn++
}

// Receive takes a message of another daemon.
func (c *Core) Receive(now timekeeper.Millis, from string, m Message) []Envelope {
	switch m.Kind {
	case Draw:
		if o := c.limited(m.Organisation); o != nil && c.counts() {
			c.drawn(now, o, draw{from: from, number: m.Number, want: int(m.Tokens), need: int(m.Need)})
		}
	case Grant:
		c.granted(now, m)
	case Borrow:
		c.lend(now, from, m)
	case Loan:
		c.lent(now, m)
	}
	return c.flush()
}

// Tick answers questions for which other regions were asked in vain. It is due after Due.
func (c *Core) Tick(now timekeeper.Millis) []Envelope {
	for h, a := range c.accounts {
		if len(a.pending) == 0 || a.loan.open(now) {
			continue
		}
		if o := c.limited(h); o != nil {
			c.account(o, now)
			c.serve(now, o, a)
			c.refuse(now, o, a)
		}
	}
	return c.flush()
}

// Due returns how long after a question to other regions Tick is to be called, 0 if none is
// under way.
func (c *Core) Due(sent []Envelope) timekeeper.Millis {
	for _, e := range sent {
		if e.Kind == Borrow {
			return borrowPatience
		}
	}
	return 0
}

// Forget drops what is known of organisations that had no requests for long.
func (c *Core) Forget(now timekeeper.Millis) {
	maps.DeleteFunc(c.accounts, func(_ hasher.Hash, a *account) bool { return now-a.used > idleTime && len(a.pending) == 0 })
	maps.DeleteFunc(c.stocks, func(_ hasher.Hash, s *stock) bool { return now-s.used > idleTime && len(s.waiting) == 0 })
}

// counts tells whether this daemon counts for its region.
func (c *Core) counts() bool {
	return c.census.Counts && !c.census.Alone
}

// limited returns an organisation that has a limit.
func (c *Core) limited(h hasher.Hash) *authenticator.Organisation {
	o := c.Organisation(h)
	if o == nil || o.Limit.Unlimited() {
		return nil
	}
	return o
}

func (c *Core) send(to string, m Message) {
	if to != "" {
		c.out = append(c.out, Envelope{To: to, Message: m})
	}
}

func (c *Core) flush() []Envelope {
	out := c.out
	c.out = nil
	return out
}
