package dispatcher

import (
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// earnedShare is the part of the allowed ratio that this daemon uses. The rest
// covers requests that were counted here and ended in the window before.
const earnedShare = 0.8

type (
	// Retries bounds the sendings of one daemon beyond the first of each
	// request. The bound is on a sliding window over the whole fleet: a ratio of
	// the requests for a service plus a burst. Each daemon uses the ratio of its
	// own requests and its share of the burst, so the parts sum to less than the
	// whole without an agreement. Limits must be set before use.
	Retries struct {
		Limits func() RetryLimits
		Clock  timekeeper.Clock

		lock     sync.Mutex
		services map[resolver.ServiceName]*window
	}

	// RetryLimits are one daemon's part of the repeats.
	RetryLimits struct {
		// Ratio is how many repeats a request earns.
		Ratio float64
		// Burst is this daemon's share of the repeats that need no requests.
		Burst float64
		// Window is how long a repeat counts.
		Window timekeeper.Millis
	}

	// window counts one service's requests and repeats in spans of time.
	window struct {
		spans [windowSpans]span
	}

	span struct {
		number   int64
		requests int
		repeats  int
	}
)

// windowSpans is how finely a window slides.
const windowSpans = 16

// Request notes a first sending.
func (r *Retries) Request(s resolver.ServiceName) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.at(s, r.Limits()).requests++
}

// Take takes one repeat out of the budget, and reports false if none is left.
func (r *Retries) Take(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	l := r.Limits()
	if !r.left(s, l) {
		return false
	}
	r.at(s, l).repeats++
	return true
}

// Left tells whether Take would succeed now.
func (r *Retries) Left(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.left(s, r.Limits())
}

func (r *Retries) left(s resolver.ServiceName, l RetryLimits) bool {
	now := r.at(s, l).number
	requests, repeats := r.services[s].sum(now)
	return float64(repeats+1) <= earnedShare*l.Ratio*float64(requests)+l.Burst
}

func (r *Retries) at(s resolver.ServiceName, l RetryLimits) *span {
	if r.services == nil {
		r.services = map[resolver.ServiceName]*window{}
	}
	w := r.services[s]
	if w == nil {
		w = &window{}
		r.services[s] = w
	}
	length := max(l.Window/(windowSpans-1), 1)
	number := int64(r.Clock.Now() / length)
	p := &w.spans[number%windowSpans]
	if p.number != number {
		*p = span{number: number}
	}
	return p
}

func (w *window) sum(now int64) (requests, repeats int) {
	for _, p := range w.spans {
		if p.number > now-windowSpans {
			requests += p.requests
			repeats += p.repeats
		}
	}
	return requests, repeats
}
