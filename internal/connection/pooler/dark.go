package pooler

import (
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// dark tells that no upstream of the pool is reached, and when one is tried again.
// A pool that waits for former owners is not dark. The caller holds the lock.
func (p *Pool) dark(now timekeeper.Millis) (timekeeper.Millis, bool) {
	var soonest timekeeper.Millis
	for _, u := range p.upstreams {
		if u.removed || u.leaving || u.listed {
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

// unreached refuses a request at once when no upstream is reached: another site may
// serve it. The caller holds the lock.
func (p *Pool) unreached() (exchanger.Result, bool) {
	now := p.clock.Now()
	soonest, dark := p.dark(now)
	if !dark {
		return exchanger.Result{}, false
	}
	return exchanger.Refused(exchanger.ReasonNoUpstream, min(max(soonest-now, soonestBack), latestBack)), true
}

// overLimit tells whether one request more of another site would take the pool over
// the part of its slots that may be filled by decision. The caller holds the lock.
func (p *Pool) overLimit() bool {
	_, slots := p.room(p.clock.Now())
	return float64(p.busy()+p.waiting.Len()+1) > float64(slots)*p.settings.Limit
}
