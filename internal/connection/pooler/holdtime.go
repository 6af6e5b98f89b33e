package pooler

import (
	"math"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// holdWeight is the weight of one request in the moving averages.
	holdWeight = 1.0 / 16

	// holdDeviations is how many mean deviations above the mean a request is expected
	// to hold its slot at most. Of exponentially distributed times 96% are below that.
	holdDeviations = 3

	// Bounds of the retry delay of a caller that was refused since no slot was
	// free. In between, the delay is the expected wait of the queue.
	minRetryAfter = 100 * timekeeper.Millis(1)
	maxRetryAfter = 10 * timekeeper.Second
)

// updateHoldTime adds the time that a request held a slot to the moving averages. The
// caller holds the lock.
func (p *Pool) updateHoldTime(held timekeeper.Millis) {
	if p.meanHold == 0 {
		p.meanHold = float64(held)
		return
	}
	deviation := float64(held) - p.meanHold
	p.meanHold += deviation * holdWeight
	p.holdDeviation += (math.Abs(deviation) - p.holdDeviation) * holdWeight
}

// expectedHold returns how long a request is expected to hold a slot at most. The
// caller holds the lock.
func (p *Pool) expectedHold() timekeeper.Millis {
	return timekeeper.Millis(p.meanHold + holdDeviations*p.holdDeviation)
}

// expectedWait returns how long it is expected to take until that many queued requests
// have a slot, 0 if that is unknown. The caller holds the lock.
func (p *Pool) expectedWait(queued int, now timekeeper.Millis) timekeeper.Millis {
	_, slots := p.countSlots(now)
	if slots == 0 {
		return 0
	}
	return timekeeper.Millis(float64(queued) * p.meanHold / float64(slots))
}

// wouldMissDeadline reports whether a request that joins the queue is expected to miss
// its deadline. Such a request is refused at once: in the queue it would only keep
// others from slots that they can use in time. The caller holds the lock.
func (p *Pool) wouldMissDeadline(deadline timekeeper.Millis) bool {
	if deadline == 0 {
		return false
	}
	now := p.clock.Now()
	wait := p.expectedWait(p.waiting.Len()+1, now)
	return wait > 0 && now+wait+p.expectedHold() > deadline
}

// lacksTime reports whether a request that waited has too little time left for a
// response. If it were sent, its deadline would mostly pass while it runs, with an unknown
// outcome.
func (p *Pool) lacksTime(deadline timekeeper.Millis) bool {
	if deadline == 0 {
		return false
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.clock.Now()+p.expectedHold() > deadline
}

// refuseFull returns a refusal with the reason, and a retry delay from the length of the
// queue. The caller holds the lock.
func (p *Pool) refuseFull(r exchanger.Reason) exchanger.Result {
	wait := p.expectedWait(p.waiting.Len(), p.clock.Now())
	return exchanger.Refused(r, min(max(wait, minRetryAfter), maxRetryAfter))
}
