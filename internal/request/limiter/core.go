package limiter

import (
	"maps"
	"slices"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// regionalRetryInterval is how long the region's allocator is skipped after it did not
	// respond.
	regionalRetryInterval = 2 * timekeeper.Second

	// idleExpiry is how long an organisation without requests is remembered.
	idleExpiry = timekeeper.Minute
)

// Core decides which requests are within the limits. Its methods take the current time and
// return the messages to send. It is not safe for concurrent use. Tolerance and Organisation
// must be set before use.
type Core struct {
	Tolerance Tolerance
	// Organisation returns the organisation whose name has a hash, by the configuration in
	// force, or nil.
	Organisation func(hasher.Hash) *authenticator.Organisation

	view           FleetView
	allocatorSince timekeeper.Millis
	// allocators are the addresses that tokens are acquired from: the region's allocator, then
	// the others. current selects the one to ask, unanswered counts consecutive requests
	// without a response.
	allocators []string
	current    int
	unanswered int
	// skippedAt is when the region's allocator was last skipped.
	skippedAt timekeeper.Millis
	// ownShareFrom is when this daemon may begin to use its own shares, ownShareUsedAt when it
	// last did.
	ownShareFrom   timekeeper.Millis
	ownShareUsedAt timekeeper.Millis
	accounts       map[hasher.Hash]*account
	caches         map[hasher.Hash]*tokenCache
	number         uint32
	out            []Envelope
}

// Observe updates the view of the fleet.
func (c *Core) Observe(now timekeeper.Millis, v FleetView) {
	wasAllocator := c.isAllocator()
	if v.Allocator != c.view.Allocator {
		c.current, c.unanswered = 0, 0
	}
	c.view = v
	c.allocators = c.allocators[:0]
	if v.Allocator != "" {
		c.allocators = append(append(c.allocators, v.Allocator), v.Others...)
	}
	if c.isAllocator() == wasAllocator {
		return
	}
	c.accounts, c.allocatorSince = nil, now
	if c.isAllocator() {
		c.accounts = map[hasher.Hash]*account{}
	}
}

// Take asks for a token. The ticket's outcome may be Waiting.
func (c *Core) Take(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) []Envelope {
	switch {
	case o.Limit.Unlimited():
		t.Verdict = Verdict{Outcome: Admitted}
	case c.isAllocator():
		c.handleAcquire(now, o, acquisition{ticket: t, wanted: 1, needed: 1})
	case c.view.Isolated || len(c.allocators) == 0:
		t.Verdict = c.takeOwnShare(now, o, c.tokenCache(o, now))
	case c.unanswered >= len(c.allocators):
		s := c.tokenCache(o, now)
		t.Verdict = c.takeOwnShare(now, o, s)
		c.nextAllocator(now, s)
		c.requestTokens(now, o, s)
	default:
		c.takeCached(now, o, t)
	}
	return c.flush()
}

// Return gives back the token of a request that did not run.
func (c *Core) Return(now timekeeper.Millis, o *authenticator.Organisation) []Envelope {
	if o.Limit.Unlimited() {
		return nil
	}
	if c.isAllocator() {
		c.account(o, now).bucket.level++
		return nil
	}
	s := c.tokenCache(o, now)
	if s.tokens == 0 {
		s.expiresAt = now + minLifetime
	}
	s.tokens++
	s.admitWaiting()
	return c.flush()
}

// HandleTimeout is called when a ticket has waited for AllocatorTimeout since Take or the last
// HandleTimeout. It asks the next allocator or decides the ticket.
func (c *Core) HandleTimeout(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) []Envelope {
	if t.Verdict.Outcome != Waiting {
		return nil
	}
	s := c.tokenCache(o, now)
	c.nextAllocator(now, s)
	if !c.isAllocator() && !c.view.Isolated && c.unanswered < len(c.allocators) && t.timeouts < len(c.allocators) {
		t.timeouts++
		if !slices.Contains(s.waiting, t) {
			s.waiting = append(s.waiting, t)
		}
		c.requestTokens(now, o, s)
		return c.flush()
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Ticket) bool { return w == t })
	t.decide(c.takeOwnShare(now, o, s))
	return c.flush()
}

// Cancel ends the wait of a ticket whose request has ended.
func (c *Core) Cancel(t *Ticket) {
	t.decide(Verdict{Outcome: Unknown, After: unknownRetryAfter})
}

// nextAllocator moves on to the next allocator if the last request got no response in time.
func (c *Core) nextAllocator(now timekeeper.Millis, s *tokenCache) {
	if s.requestedAt == 0 || now-s.requestedAt < AllocatorTimeout {
		return
	}
	s.requestedAt = 0
	c.unanswered++
	if c.current == 0 {
		c.skippedAt = now
	}
	c.current++
}

// Receive handles a message of another daemon.
func (c *Core) Receive(now timekeeper.Millis, from string, m Message) []Envelope {
	switch m.Kind {
	case Acquire:
		if o := c.limitedOrganisation(m.Organisation); o != nil && c.isAllocator() {
			c.handleAcquire(now, o, acquisition{from: from, number: m.Number, wanted: int(m.Tokens), needed: int(m.Need)})
		}
	case Grant:
		c.handleGrant(now, m)
	case Borrow:
		c.handleBorrow(now, from, m)
	case Loan:
		c.handleLoan(now, m)
	}
	return c.flush()
}

// Tick responds to acquisitions for which other regions did not lend enough in time. It must
// be called once the delay that Due returned after a step has passed.
func (c *Core) Tick(now timekeeper.Millis) []Envelope {
	for h, a := range c.accounts {
		if len(a.pending) == 0 || a.borrowing.open(now) {
			continue
		}
		if o := c.limitedOrganisation(h); o != nil {
			c.account(o, now)
			c.serve(now, o, a)
			c.refuse(now, o, a)
		}
	}
	return c.flush()
}

// Due returns the delay after which Tick must be called, given the messages that were sent; 0
// if none of them asks other regions.
func (c *Core) Due(sent []Envelope) timekeeper.Millis {
	for _, e := range sent {
		if e.Kind == Borrow {
			return borrowTimeout
		}
	}
	return 0
}

// Forget drops the state of organisations that have been idle for longer than idleExpiry.
func (c *Core) Forget(now timekeeper.Millis) {
	maps.DeleteFunc(c.accounts, func(_ hasher.Hash, a *account) bool { return now-a.usedAt > idleExpiry && len(a.pending) == 0 })
	maps.DeleteFunc(c.caches, func(_ hasher.Hash, s *tokenCache) bool { return now-s.usedAt > idleExpiry && len(s.waiting) == 0 })
}

// isAllocator reports whether this daemon is the limit allocator of its region.
func (c *Core) isAllocator() bool {
	return c.view.IsAllocator && !c.view.Isolated
}

// limitedOrganisation returns the organisation with a hash, nil if it is unknown or unlimited.
func (c *Core) limitedOrganisation(h hasher.Hash) *authenticator.Organisation {
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
