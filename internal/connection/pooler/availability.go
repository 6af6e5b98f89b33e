package pooler

import (
	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// allDown reports whether every upstream of the pool that is not leaving is in back-off or
// paused, and the first of them that takes requests again. A pool that waits for former owners
// to release an upstream is not down. The caller holds the lock.
func (p *Pool) allDown(now timekeeper.Millis) (first *upstream, allDown bool) {
	for _, u := range p.upstreams {
		if u.removed || u.leaving() {
			continue
		}
		if !u.claimed || now >= u.unavailableUntil() {
			return nil, false
		}
		if first == nil || u.unavailableUntil() < first.unavailableUntil() {
			first = u
		}
	}
	return first, first != nil
}

// refuseAllDown returns the refusal of a request if all upstreams are down or paused, and reports
// whether they are. It does not queue the request since another site may serve it. The
// caller holds the lock.
func (p *Pool) refuseAllDown() (exchanger.Result, bool) {
	now := p.clock.Now()
	first, allDown := p.allDown(now)
	if !allDown {
		return exchanger.Result{}, false
	}
	after := max(first.unavailableUntil()-now, minRetryAfter)
	if first.announced.isPaused(now) {
		after = advisor.SpreadReturn(after)
	}
	return exchanger.Refused(exchanger.ReasonNoUpstream, after), true
}

// returnAfter returns the retry delay of a caller whose request an upstream refused.
func (p *Pool) returnAfter() timekeeper.Millis {
	p.lock.Lock()
	defer p.lock.Unlock()
	if r, down := p.refuseAllDown(); down {
		return max(r.RetryAfter, retryAfter)
	}
	return retryAfter
}

// overLimit reports whether one more request from another site would exceed the limit,
// the share of the slots up to which detours are admitted. The caller holds the lock.
func (p *Pool) overLimit() bool {
	_, slots := p.countSlots(p.clock.Now())
	return float64(p.busy()+p.waiting.Len()+1) > float64(slots)*p.settings.Limit
}
