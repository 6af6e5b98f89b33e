package limiter

import (
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// AllocatorTimeout is how long a request waits for one allocator before it asks another
	// one. It exceeds the time for which an allocator waits for other regions.
	AllocatorTimeout = 160 * timekeeper.Millis(1)

	// localDenialTime is the maximum time for which a daemon refuses requests without asking
	// its allocator after the allocator had no token left. The first request afterwards asks
	// again.
	localDenialTime = 200 * timekeeper.Millis(1)

	// unknownRetryAfter is the retry delay for callers while the use of their organisation's
	// limit is not known here. They should retry at another daemon if possible.
	unknownRetryAfter = 250 * timekeeper.Millis(1)

	// ownShareDelay is how long a daemon that reaches no allocator waits before it uses its
	// own share: the allocators give that share to others until they have noticed its absence.
	ownShareDelay = 1600 * timekeeper.Millis(1)

	// ownShareReset is how long a daemon keeps the buckets of its own share after their last
	// use, also if an allocator responds in between.
	ownShareReset = 5 * timekeeper.Second
)

// tokenCache holds a daemon's tokens of one organisation.
type tokenCache struct {
	demand    demand
	tokens    int
	expiresAt timekeeper.Millis
	waiting   []*Ticket

	// number identifies the pending request for tokens, and requestedAt is when it was sent, 0
	// for none.
	number      uint32
	requestedAt timekeeper.Millis

	// deniedUntil is the time until which requests are refused locally, lastRetryAt the last
	// retry time given out, and gap the time between two of them.
	deniedUntil timekeeper.Millis
	lastRetryAt timekeeper.Millis
	gap         timekeeper.Millis

	// ownShare is the bucket used while no allocator responds, and ownShareFrom is when the
	// daemon may begin to use its own share.
	ownShare     bucket
	ownShareFrom timekeeper.Millis
	usedAt       timekeeper.Millis
}

// tokenCache returns this daemon's tokens of an organisation, without expired ones.
func (c *Core) tokenCache(o *authenticator.Organisation, now timekeeper.Millis) *tokenCache {
	if c.caches == nil {
		c.caches = map[hasher.Hash]*tokenCache{}
	}
	s := c.caches[o.Hash()]
	if s == nil {
		s = &tokenCache{}
		c.caches[o.Hash()] = s
	}
	s.usedAt = now
	if now >= s.expiresAt {
		s.tokens = 0
	}
	return s
}

// takeCached decides a request with the cached tokens, or lets it wait for a response.
func (c *Core) takeCached(now timekeeper.Millis, o *authenticator.Organisation, t *Ticket) {
	s := c.tokenCache(o, now)
	s.demand.record(now, 1)
	switch {
	case s.tokens > 0:
		s.tokens--
		t.Verdict = Verdict{Outcome: Admitted}
		if float64(s.tokens) < s.demand.rate(now)*seconds(refillThreshold) && s.prefetchCount(now) > 0 {
			c.requestTokens(now, o, s)
		}
		return
	case now < s.deniedUntil:
		t.Verdict = s.deny(now)
		return
	}
	s.waiting = append(s.waiting, t)
	c.requestTokens(now, o, s)
}

// prefetchCount returns the number of tokens to acquire before requests need them.
func (s *tokenCache) prefetchCount(now timekeeper.Millis) int {
	return int(s.demand.rate(now) * seconds(prefetchTime))
}

// requestTokens asks the current allocator for tokens unless a request is pending.
func (c *Core) requestTokens(now timekeeper.Millis, o *authenticator.Organisation, s *tokenCache) {
	if s.requestedAt > 0 && now-s.requestedAt < AllocatorTimeout || len(c.allocators) == 0 {
		return
	}
	if now-c.skippedAt >= regionalRetryInterval {
		c.current = 0
	}
	c.number++
	s.number, s.requestedAt = c.number, now
	need := len(s.waiting)
	c.send(c.allocators[c.current%len(c.allocators)], Message{
		Kind: Acquire, Organisation: o.Hash(), Number: s.number,
		Tokens: uint32(need + s.prefetchCount(now)), Need: uint32(need),
	})
}

// handleGrant handles a response. A response to any request but the last one is dropped with
// its tokens.
func (c *Core) handleGrant(now timekeeper.Millis, m Message) {
	o := c.limitedOrganisation(m.Organisation)
	if o == nil {
		return
	}
	s := c.tokenCache(o, now)
	if s.requestedAt == 0 || s.number != m.Number || now-s.requestedAt >= AllocatorTimeout {
		return
	}
	c.unanswered = 0
	if expiresAt := s.requestedAt + c.Tolerance.lifetime(o.Limit); s.tokens == 0 || expiresAt < s.expiresAt {
		s.expiresAt = expiresAt
	}
	s.tokens += int(m.Tokens)
	s.requestedAt = 0
	s.admitWaiting()
	if m.After > 0 {
		s.deniedUntil, s.lastRetryAt, s.gap = now+min(m.After, localDenialTime), now+m.After-m.Gap, m.Gap
		s.denyWaiting(now)
		return
	}
	if len(s.waiting) > 0 {
		c.requestTokens(now, o, s)
	}
}

// admitWaiting admits waiting requests in order.
func (s *tokenCache) admitWaiting() {
	n := min(len(s.waiting), s.tokens)
	for _, t := range s.waiting[:n] {
		t.decide(Verdict{Outcome: Admitted})
	}
	s.tokens -= n
	s.waiting = s.waiting[n:]
}

func (s *tokenCache) denyWaiting(now timekeeper.Millis) {
	for _, t := range s.waiting {
		t.decide(s.deny(now))
	}
	s.waiting = nil
}

// deny refuses a request, with a retry time after those of the requests refused before.
func (s *tokenCache) deny(now timekeeper.Millis) Verdict {
	s.lastRetryAt = min(max(s.lastRetryAt, now)+s.gap, now+maxRetryAfter)
	return Verdict{Outcome: OverLimit, After: max(s.lastRetryAt-now, minRetryAfter)}
}

// takeOwnShare decides a request by this daemon's own share of the limit.
func (c *Core) takeOwnShare(now timekeeper.Millis, o *authenticator.Organisation, s *tokenCache) Verdict {
	t := c.bucketParams(o, c.view.ownShare())
	if c.ownShareFrom == 0 || now-c.ownShareUsedAt > ownShareReset {
		c.ownShareFrom = now + ownShareDelay
	}
	c.ownShareUsedAt = now
	if s.ownShareFrom != c.ownShareFrom {
		s.ownShare, s.ownShareFrom = bucket{updatedAt: c.ownShareFrom}, c.ownShareFrom
	}
	s.ownShare.refill(now, t)
	if s.ownShare.issue(now, 1, 1, t) == 0 {
		return Verdict{Outcome: Unknown, After: unknownRetryAfter}
	}
	return Verdict{Outcome: Admitted}
}
