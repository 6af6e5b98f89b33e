package pooler

import (
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// allDown reports whether every upstream of the pool that is not leaving is in back-off,
// and when the first back-off ends. A pool that waits for former owners to release an
// upstream is not down. The caller holds the lock.
func (p *Pool) allDown(now timekeeper.Millis) (timekeeper.Millis, bool) {
	var soonest timekeeper.Millis
	for _, u := range p.upstreams {
		if u.removed || u.draining || u.vmLeaving {
			continue
		}
		if !u.claimed || now >= u.downUntil {
			return 0, false
		}
		if soonest == 0 || u.downUntil < soonest {
			soonest = u.downUntil
		}
	}
	return soonest, soonest > 0
}

// refuseAllDown returns the refusal of a request if all upstreams are down, and reports
// whether they are. It does not queue the request since another site may serve it. The
// caller holds the lock.
func (p *Pool) refuseAllDown() (exchanger.Result, bool) {
	now := p.clock.Now()
	soonest, allDown := p.allDown(now)
	if !allDown {
		return exchanger.Result{}, false
	}
	return exchanger.Refused(exchanger.ReasonNoUpstream, min(max(soonest-now, minRetryAfter), maxRetryAfter)), true
}

// overLimit reports whether one more request from another site would exceed the limit,
// the share of the slots up to which detours are admitted. The caller holds the lock.
func (p *Pool) overLimit() bool {
	_, slots := p.countSlots(p.clock.Now())
	return float64(p.busy()+p.waiting.Len()+1) > float64(slots)*p.settings.Limit
}
