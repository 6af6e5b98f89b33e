package pooler

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
)

const (
	// failureWeight is the weight of the latest request in the moving average of
	// failures. An upstream is ejected once its average reaches failureThreshold.
	failureWeight    = 1.0 / 8
	failureThreshold = 0.6

	// ejectionDivisor bounds ejections: at most one in ejectionDivisor of the usable
	// upstreams of a pool may be in back-off at a time. If all of them fail, the cause
	// is not a single upstream.
	ejectionDivisor = 3
)

// recordOutcome adds the outcome of a request to the failure share of u. An upstream
// that mostly fails while others do not is ejected: it gets the back-off of a failed dial.
func (p *Pool) recordOutcome(u *upstream, failed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !failed {
		u.failureShare -= u.failureShare * failureWeight
		return
	}
	u.failureShare += (1 - u.failureShare) * failureWeight
	if u.failureShare < failureThreshold || !p.mayEject() {
		return
	}
	u.startBackOff(p.clock.Now())
	u.failureShare = 0
	p.ejections++
}

// mayEject reports whether one more upstream may be ejected. The caller holds the
// lock.
func (p *Pool) mayEject() bool {
	now := p.clock.Now()
	all, down := 0, 0
	for _, u := range p.upstreams {
		if u.removed || u.leaving() || !u.claimed {
			continue
		}
		all++
		if now < u.unavailableUntil() {
			down++
		}
	}
	return (down+1)*ejectionDivisor <= all
}

// isFailure reports whether the outcome of a request counts as a failure of its
// upstream: a lost connection, or a status of 500 or above.
func isFailure(r exchanger.Result, status int) bool {
	lost := r.Reason == exchanger.ReasonUpstreamLost || r.Reason == exchanger.ReasonUpstreamTerminated
	return lost || status >= http.StatusInternalServerError
}
