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
	// whole without an agreement. The zero value allows nothing.
	Retries struct {
		// Ratio is how many repeats a request earns.
		Ratio float64
		// Burst is this daemon's share of the repeats that need no requests.
		Burst func() float64
		// Window is how long a repeat counts.
		Window timekeeper.Millis
		Clock  timekeeper.Clock

		lock     sync.Mutex
		services map[resolver.ServiceName]*window
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
	r.at(s).requests++
}

// Take takes one repeat out of the budget, and reports false if none is left.
func (r *Retries) Take(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.left(s) {
		return false
	}
	r.at(s).repeats++
	return true
}

// Left tells whether Take would succeed now.
func (r *Retries) Left(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.left(s)
}

func (r *Retries) left(s resolver.ServiceName) bool {
	now := r.at(s).number
	requests, repeats := r.services[s].sum(now)
	return float64(repeats+1) <= earnedShare*r.Ratio*float64(requests)+r.Burst()
}

func (r *Retries) at(s resolver.ServiceName) *span {
	if r.services == nil {
		r.services = map[resolver.ServiceName]*window{}
	}
	w := r.services[s]
	if w == nil {
		w = &window{}
		r.services[s] = w
	}
	length := max(r.Window/(windowSpans-1), 1)
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
