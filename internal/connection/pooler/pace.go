package pooler

import (
	"math"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// paceWeight is how much of the mean one request makes up.
	paceWeight = 1.0 / 16

	// spread is how many mean deviations over the mean a request is reckoned to
	// take. Of exponential lengths 96% take less.
	spread = 3

	// A caller that was refused for want of a slot comes back when the line is
	// expected to have passed, within these bounds.
	soonestBack = 100 * timekeeper.Millis(1)
	latestBack  = 10 * timekeeper.Second
)

// notePace takes in how long a slot was held. The caller holds the lock.
func (p *Pool) notePace(held timekeeper.Millis) {
	if p.pace == 0 {
		p.pace = float64(held)
		return
	}
	off := float64(held) - p.pace
	p.pace += off * paceWeight
	p.deviation += (math.Abs(off) - p.deviation) * paceWeight
}

// needed is how long a request is reckoned to hold a slot. The caller holds the
// lock.
func (p *Pool) needed() timekeeper.Millis {
	return timekeeper.Millis(p.pace + spread*p.deviation)
}

// expectedWait is how long it takes until so many requests in line have a slot, 0
// when nothing is known. The caller holds the lock.
func (p *Pool) expectedWait(line int, now timekeeper.Millis) timekeeper.Millis {
	_, slots := p.room(now)
	if slots == 0 {
		return 0
	}
	return timekeeper.Millis(float64(line) * p.pace / float64(slots))
}

// tooLate tells whether a request that would be next in line is not expected to
// be answered by its deadline. It is refused at once: waiting would only keep
// others from slots that they can use in time. The caller holds the lock.
func (p *Pool) tooLate(deadline timekeeper.Millis) bool {
	if deadline == 0 {
		return false
	}
	now := p.clock.Now()
	wait := p.expectedWait(p.waiting.Len()+1, now)
	return wait > 0 && now+wait+p.needed() > deadline
}

// outOfTime tells whether a request that waited has too little time left to be
// answered. Begun all the same it would mostly be cut off while it runs, and
// nobody could say what became of it.
func (p *Pool) outOfTime(deadline timekeeper.Millis) bool {
	if deadline == 0 {
		return false
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.clock.Now()+p.needed() > deadline
}

// full refuses a request for want of a slot and says when to come back. The caller
// holds the lock.
func (p *Pool) full(r exchanger.Reason) exchanger.Result {
	wait := p.expectedWait(p.waiting.Len(), p.clock.Now())
	return exchanger.Refused(r, min(max(wait, soonestBack), latestBack))
}
