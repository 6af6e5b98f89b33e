package pooler

import (
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// paceWeight is how much of the mean one request makes up.
	paceWeight = 1.0 / 16

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
	p.pace += (float64(held) - p.pace) * paceWeight
}

// expectedWait is how long it takes until so many requests in line have a slot, 0
// when nothing is known. The caller holds the lock.
func (p *Pool) expectedWait(line int, now timekeeper.Millis) timekeeper.Millis {
	slots := 0
	for _, u := range p.upstreams {
		slots += u.limit(p.settings.Slots, now)
	}
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
	return wait > 0 && now+wait+timekeeper.Millis(p.pace) > deadline
}

// full refuses a request for want of a slot and says when to come back. The caller
// holds the lock.
func (p *Pool) full(r exchanger.Reason) exchanger.Result {
	wait := p.expectedWait(p.waiting.Len(), p.clock.Now())
	return exchanger.Refused(r, min(max(wait, soonestBack), latestBack))
}
