package limiter

import (
	"math"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// ahead is how much of its demand a region borrows, and a daemon draws, in advance.
	ahead = 250 * timekeeper.Millis(1)

	// lowWater is how much of its demand a region has left when it borrows.
	lowWater = 150 * timekeeper.Millis(1)

	// lendReserve is how much of its own demand a region keeps when it lends.
	lendReserve = 300 * timekeeper.Millis(1)

	// borrowPatience is how long answers of other regions are waited for: more than a round
	// trip between distant ones, and less than those wait who asked first.
	borrowPatience = 125 * timekeeper.Millis(1)

	// borrowEvery is how often a region borrows before requests need it.
	borrowEvery = 50 * timekeeper.Millis(1)

	// dryTime is how long a region does not ask again after the others had nothing.
	dryTime = 300 * timekeeper.Millis(1)

	// leastAfter and mostAfter bound when callers may come back.
	leastAfter = 20 * timekeeper.Millis(1)
	mostAfter  = 3 * timekeeper.Second
)

type (
	// account is a region's count of one organisation, at its counter.
	account struct {
		bucket  bucket
		demand  demand
		pending []draw
		loan    loan
		// promised is when the token comes that was promised last.
		promised float64
		// dryUntil is until when the other regions are not asked.
		dryUntil timekeeper.Millis
		used     timekeeper.Millis
	}

	// draw is a question for tokens: of a daemon, or of a request of this one.
	draw struct {
		from   string
		ticket *Ticket
		number uint32
		want   int
		need   int
		at     timekeeper.Millis
	}

	// loan is a question to other regions that is under way.
	loan struct {
		number uint32
		at     timekeeper.Millis
		// asked are how many regions were asked, heard how many answered, and empty how many
		// of these gave nothing.
		asked int
		heard int
		empty int
	}
)

// terms are what the bucket of an organisation is filled by with a part of its limit.
func (c *Core) terms(o *authenticator.Organisation, part float64) terms {
	return terms{
		rate:     part * o.Limit.PerSecond,
		capacity: part * c.Tolerance.capacity(o.Limit),
		lifetime: c.Tolerance.lifetime(o.Limit),
	}
}

// account returns the region's account of an organisation. That of a new counter fills from
// the moment at which it became one.
func (c *Core) account(o *authenticator.Organisation, now timekeeper.Millis) *account {
	a := c.accounts[o.Hash()]
	if a == nil {
		first := c.census.part() * c.Tolerance.first(o.Limit)
		a = &account{bucket: bucket{at: c.countingSince, level: first}}
		if c.census.Sole {
			a.bucket.level = c.Tolerance.capacity(o.Limit)
		}
		c.accounts[o.Hash()] = a
	}
	a.used = now
	a.bucket.refill(now, c.terms(o, c.census.part()))
	return a
}

// drawn takes a question for tokens at this counter.
func (c *Core) drawn(now timekeeper.Millis, o *authenticator.Organisation, d draw) {
	a := c.account(o, now)
	a.demand.note(now, d.need)
	d.at = now
	a.pending = append(a.pending, d)
	c.serve(now, o, a)
	if c.runsShort(now, a) {
		c.borrow(now, o, a)
	}
	if !a.loan.open(now) {
		c.refuse(now, o, a)
	}
}

// serve answers the questions for which there are enough tokens, in their order.
func (c *Core) serve(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	t := c.terms(o, c.census.part())
	for len(a.pending) > 0 {
		d := a.pending[0]
		if a.bucket.whole() < d.need {
			return
		}
		c.answer(o, d, a.bucket.issue(now, d.want, d.need, t), Message{})
		a.pending = a.pending[1:]
	}
}

// refuse answers all questions that are left with what there is, and says when more comes.
func (c *Core) refuse(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	t := c.terms(o, c.census.part())
	for _, d := range a.pending {
		n := a.bucket.issue(now, d.want, d.need, t)
		c.answer(o, d, n, a.promise(now, d.need-n, t, c.census.Near))
	}
	a.pending = nil
}

// promise says when tokens come for requests that are refused: later for each.
func (a *account) promise(now timekeeper.Millis, n int, t terms, daemons int) Message {
	gap := float64(timekeeper.Second) / max(t.rate, math.SmallestNonzeroFloat32)
	latest := float64(now + mostAfter)
	a.promised = min(max(a.promised, float64(now)), latest)
	after := a.promised + gap - float64(now)
	a.promised = min(a.promised+gap*float64(n), latest)
	return Message{
		After: timekeeper.Millis(min(max(after, float64(leastAfter)), float64(mostAfter))),
		Gap:   timekeeper.Millis(min(gap*float64(max(daemons, 1)), float64(mostAfter))),
	}
}

// answer answers one question.
func (c *Core) answer(o *authenticator.Organisation, d draw, n int, m Message) {
	if d.ticket != nil {
		c.answerOwn(o, d.ticket, n, m.After)
		return
	}
	m.Kind, m.Organisation, m.Number, m.Tokens = Grant, o.Hash(), d.number, uint32(n)
	c.send(d.from, m)
}

// answerOwn decides a request of this daemon. The token of one that was given up meanwhile
// goes back.
func (c *Core) answerOwn(o *authenticator.Organisation, t *Ticket, n int, after timekeeper.Millis) {
	switch {
	case n == 0:
		t.decide(Verdict{Outcome: Over, After: after})
	case t.Verdict.Outcome == Waiting:
		t.decide(Verdict{Outcome: Admitted})
	default:
		c.accounts[o.Hash()].bucket.level += float64(n)
	}
}

// runsShort tells whether it is time to borrow.
func (c *Core) runsShort(now timekeeper.Millis, a *account) bool {
	if len(c.census.Others) == 0 || a.loan.open(now) || now < a.dryUntil {
		return false
	}
	return len(a.pending) > 0 || now-a.loan.at >= borrowEvery && a.bucket.level < a.demand.rate(now)*seconds(lowWater)
}

// borrow asks the other regions for what is missing.
func (c *Core) borrow(now timekeeper.Millis, o *authenticator.Organisation, a *account) {
	need := -a.bucket.level
	for _, d := range a.pending {
		need += float64(d.need)
	}
	missing := need + a.demand.rate(now)*seconds(ahead)
	others := float64(len(c.census.Others))
	if missing <= 0 {
		return
	}
	c.number++
	a.loan = loan{number: c.number, at: now, asked: len(c.census.Others)}
	for _, to := range c.census.Others {
		c.send(to, Message{
			Kind: Borrow, Organisation: o.Hash(), Number: c.number,
			Tokens: uint32(math.Ceil(missing / others)), Need: uint32(math.Ceil(max(need, 0) / others)),
		})
	}
}

// lend gives another region what this one can spare.
func (c *Core) lend(now timekeeper.Millis, from string, m Message) {
	reply := Message{Kind: Loan, Organisation: m.Organisation, Number: m.Number}
	if o := c.limited(m.Organisation); o != nil && c.counts() {
		a := c.account(o, now)
		spare := int(a.bucket.level - a.demand.rate(now)*seconds(lendReserve))
		if len(a.pending) == 0 && spare > 0 {
			reply.Tokens = uint32(a.bucket.issue(now, min(int(m.Tokens), spare), int(m.Need), c.terms(o, c.census.part())))
		}
	}
	c.send(from, reply)
}

// lent takes what another region gave.
func (c *Core) lent(now timekeeper.Millis, m Message) {
	o := c.limited(m.Organisation)
	if o == nil || !c.counts() {
		return
	}
	a := c.account(o, now)
	if a.loan.number != m.Number || !a.loan.open(now) {
		return
	}
	a.loan.heard++
	if m.Tokens == 0 {
		a.loan.empty++
	}
	a.bucket.borrow(now, int(m.Tokens), c.terms(o, c.census.part()))
	c.serve(now, o, a)
	if a.loan.open(now) {
		return
	}
	if a.loan.empty == a.loan.asked {
		a.dryUntil = now + dryTime
	}
	if c.runsShort(now, a) {
		c.borrow(now, o, a)
	}
	if !a.loan.open(now) {
		c.refuse(now, o, a)
	}
}

// open tells whether answers of other regions may still come.
func (l *loan) open(now timekeeper.Millis) bool {
	return l.heard < l.asked && now-l.at < borrowPatience
}
