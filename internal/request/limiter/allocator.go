package limiter

import (
	"math"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// prefetchTime is the time for whose expected demand a region borrows, or a daemon
	// acquires, tokens in advance.
	prefetchTime = 250 * timekeeper.Millis(1)

	// refillThreshold is the time for whose expected demand tokens must be left. Below that, a
	// region borrows, or a daemon acquires, more.
	refillThreshold = 150 * timekeeper.Millis(1)

	// lendReserve is the time for whose expected demand of its own a region keeps tokens when
	// it lends.
	lendReserve = 300 * timekeeper.Millis(1)

	// borrowTimeout is how long to wait for responses of other regions: more than a round trip
	// between distant ones, and less than the timeout of the requests that wait for them.
	borrowTimeout = 125 * timekeeper.Millis(1)

	// borrowInterval is the minimum time between borrow requests ahead of demand.
	borrowInterval = 50 * timekeeper.Millis(1)

	// borrowBackOff is how long a region does not borrow after no other region had tokens to
	// lend.
	borrowBackOff = 300 * timekeeper.Millis(1)

	// minRetryAfter and maxRetryAfter bound the retry delay given to callers.
	minRetryAfter = 20 * timekeeper.Millis(1)
	maxRetryAfter = 3 * timekeeper.Second
)

type (
	// account is the allocator's state of one organisation in its region.
	account struct {
		bucket    bucket
		demand    demand
		pending   []acquisition
		borrowing borrowing
		// lastRetryAt is the latest retry time given to a refused request.
		lastRetryAt float64
		// borrowBlockedUntil is the time until which the other regions are not asked for
		// tokens.
		borrowBlockedUntil timekeeper.Millis
		usedAt             timekeeper.Millis
	}

	// acquisition is a request for tokens, of another daemon or (with a ticket) of a local
	// request.
	acquisition struct {
		from        string
		ticket      *Ticket
		number      uint32
		wanted      int
		needed      int
		requestedAt timekeeper.Millis
	}

	// borrowing is a request for tokens that was sent to all other regions.
	borrowing struct {
		number      uint32
		requestedAt timekeeper.Millis
		// asked is the number of regions asked, received the number of responses, and empty
		// the number of responses without tokens.
		asked    int
		received int
		empty    int
	}
)

// bucketParams returns the parameters of a bucket with a share of an organisation's limit.
func (c *Core) bucketParams(o *authenticator.Organisation, share float64) bucketParams {
	return bucketParams{
		rate:     share * o.Limit.PerSecond,
		capacity: share * c.Tolerance.capacity(o.Limit),
		lifetime: c.Tolerance.lifetime(o.Limit),
	}
}

// account returns the region's account of an organisation. The bucket of a new account is
// refilled from the time at which the daemon became the allocator.
func (c *Core) account(o *authenticator.Organisation, now timekeeper.Millis) *account {
	a := c.accounts[o.Hash()]
	if a == nil {
		initialTokens := c.view.regionShare() * c.Tolerance.initialTokens(o.Limit)
		a = &account{bucket: bucket{updatedAt: c.allocatorSince, level: initialTokens}}
		if c.view.SingleDaemon {
			a.bucket.level = c.Tolerance.capacity(o.Limit)
		}
		c.accounts[o.Hash()] = a
	}
	a.usedAt = now
	a.bucket.refill(now, c.bucketParams(o, c.view.regionShare()))
	return a
}

// handleAcquire handles a request for tokens at this allocator.
func (c *Core) handleAcquire(now timekeeper.Millis, o *authenticator.Organisation, d acquisition) {
	a := c.account(o, now)
	a.demand.record(now, d.needed)
	d.requestedAt = now
	a.pending = append(a.pending, d)
	c.serve(now, o, a)
	if c.shouldBorrow(now, a) {
		c.borrow(now, o, a)
	}
	if !a.borrowing.open(now) {
		c.refuse(now, o, a)
	}
}

// serve responds in order to pending acquisitions, as long as there are enough tokens.
func (c *Core) serve(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	t := c.bucketParams(o, c.view.regionShare())
	for len(a.pending) > 0 {
		d := a.pending[0]
		if a.bucket.available() < d.needed {
			return
		}
		c.respond(o, d, a.bucket.issue(now, d.wanted, d.needed, t), Message{})
		a.pending = a.pending[1:]
	}
}

// refuse responds to all pending acquisitions with the tokens that are left, and with retry
// times for the rest.
func (c *Core) refuse(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	t := c.bucketParams(o, c.view.regionShare())
	for _, d := range a.pending {
		n := a.bucket.issue(now, d.wanted, d.needed, t)
		c.respond(o, d, n, a.retryTimes(now, d.needed-n, t, c.view.Reachable))
	}
	a.pending = nil
}

// retryTimes returns a message with the retry times of n refused requests, one token interval
// apart.
func (a *account) retryTimes(now timekeeper.Millis, n int, t bucketParams, daemons int) Message {
	gap := float64(timekeeper.Second) / max(t.rate, math.SmallestNonzeroFloat32)
	latest := float64(now + maxRetryAfter)
	a.lastRetryAt = min(max(a.lastRetryAt, float64(now)), latest)
	after := a.lastRetryAt + gap - float64(now)
	a.lastRetryAt = min(a.lastRetryAt+gap*float64(n), latest)
	return Message{
		After: timekeeper.Millis(min(max(after, float64(minRetryAfter)), float64(maxRetryAfter))),
		Gap:   timekeeper.Millis(min(gap*float64(max(daemons, 1)), float64(maxRetryAfter))),
	}
}

// respond responds to one acquisition with n tokens.
func (c *Core) respond(o *authenticator.Organisation, d acquisition, n int, m Message) {
	if d.ticket != nil {
		c.decideLocal(o, d.ticket, n, m.After)
		return
	}
	m.Kind, m.Organisation, m.Number, m.Tokens = Grant, o.Hash(), d.number, uint32(n)
	c.send(d.from, m)
}

// decideLocal decides a request of this daemon. If the request was cancelled meanwhile, its
// token goes back to the bucket.
func (c *Core) decideLocal(o *authenticator.Organisation, t *Ticket, n int, after timekeeper.Millis) {
	switch {
	case n == 0:
		t.decide(Verdict{Outcome: OverLimit, After: after})
	case t.Verdict.Outcome == Waiting:
		t.decide(Verdict{Outcome: Admitted})
	default:
		c.accounts[o.Hash()].bucket.level += float64(n)
	}
}

// shouldBorrow reports whether to ask other regions for tokens now.
func (c *Core) shouldBorrow(now timekeeper.Millis, a *account) bool {
	if len(c.view.Others) == 0 || a.borrowing.open(now) || now < a.borrowBlockedUntil {
		return false
	}
	return len(a.pending) > 0 || now-a.borrowing.requestedAt >= borrowInterval && a.bucket.level < a.demand.rate(now)*seconds(refillThreshold)
}

// borrow asks the other regions for the missing tokens.
func (c *Core) borrow(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	needed := -a.bucket.level
	for _, d := range a.pending {
		needed += float64(d.needed)
	}
	missing := needed + a.demand.rate(now)*seconds(prefetchTime)
	others := float64(len(c.view.Others))
	if missing <= 0 {
		return
	}
	c.number++
	a.borrowing = borrowing{number: c.number, requestedAt: now, asked: len(c.view.Others)}
	for _, to := range c.view.Others {
		c.send(to, Message{
			Kind: Borrow, Organisation: o.Hash(), Number: c.number,
			Tokens: uint32(math.Ceil(missing / others)), Need: uint32(math.Ceil(max(needed, 0) / others)),
		})
	}
}

// handleBorrow lends another region the tokens that this one can spare.
func (c *Core) handleBorrow(now timekeeper.Millis, from string, m Message) {
	reply := Message{Kind: Loan, Organisation: m.Organisation, Number: m.Number}
	if o := c.limitedOrganisation(m.Organisation); o != nil && c.isAllocator() {
		a := c.account(o, now)
		spare := int(a.bucket.level - a.demand.rate(now)*seconds(lendReserve))
		if len(a.pending) == 0 && spare > 0 {
			reply.Tokens = uint32(a.bucket.issue(now, min(int(m.Tokens), spare), int(m.Need), c.bucketParams(o, c.view.regionShare())))
		}
	}
	c.send(from, reply)
}

// handleLoan adds the tokens that another region lent.
func (c *Core) handleLoan(now timekeeper.Millis, m Message) {
	o := c.limitedOrganisation(m.Organisation)
	if o == nil || !c.isAllocator() {
		return
	}
	a := c.account(o, now)
	if a.borrowing.number != m.Number || !a.borrowing.open(now) {
		return
	}
	a.borrowing.received++
	if m.Tokens == 0 {
		a.borrowing.empty++
	}
	a.bucket.borrow(now, int(m.Tokens), c.bucketParams(o, c.view.regionShare()))
	c.serve(now, o, a)
	if a.borrowing.open(now) {
		return
	}
	if a.borrowing.empty == a.borrowing.asked {
		a.borrowBlockedUntil = now + borrowBackOff
	}
	if c.shouldBorrow(now, a) {
		c.borrow(now, o, a)
	}
	if !a.borrowing.open(now) {
		c.refuse(now, o, a)
	}
}

// open reports whether responses of other regions are still expected.
func (b *borrowing) open(now timekeeper.Millis) bool {
	return b.received < b.asked && now-b.requestedAt < borrowTimeout
}
