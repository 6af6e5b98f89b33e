package pooler

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
)

const (
	// failureWeight is how much of the failing part one request makes up, and
	// failureLimit from which part on an upstream is taken out.
	failureWeight = 1.0 / 8
	failureLimit  = 0.6

	// ejectedPart is which part of a pool, one over it, may be out for its
	// failures at a time: whatever makes all of them fail is not theirs.
	ejectedPart = 3
)

// judge takes in how a request to u ended. An upstream that mostly fails while
// others do not is left alone for a while, as if it had not been reached.
func (p *Pool) judge(u *upstream, failed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !failed {
		u.failing -= u.failing * failureWeight
		return
	}
	u.failing += (1 - u.failing) * failureWeight
	if u.failing < failureLimit || !p.mayEject() {
		return
	}
	u.fail(p.clock.Now())
	u.failing = 0
	p.ejections++
}

// mayEject tells whether one more upstream may be taken out. The caller holds the
// lock.
func (p *Pool) mayEject() bool {
	now := p.clock.Now()
	all, out := 0, 0
	for _, u := range p.upstreams {
		if u.removed || u.leaving || u.listed || !u.claimed {
			continue
		}
		all++
		if now < u.downUntil {
			out++
		}
	}
	return (out+1)*ejectedPart <= all
}

// isFailure tells whether a request ended as one that says something about its
// upstream.
func isFailure(r exchanger.Result, status int) bool {
	lost := r.Reason == exchanger.ReasonUpstreamLost || r.Reason == exchanger.ReasonUpstreamEnded
	return lost || status >= http.StatusInternalServerError
}
