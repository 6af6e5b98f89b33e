package dispatcher

import (
	"cmp"
	"slices"
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// safetyFactor is the part of the allowed ratio that this daemon uses. The windowSpans spans
// reach up to one span further back than the sliding window, so they also count requests that
// ended before it. The rest of the ratio covers these.
const safetyFactor = 0.8

// startShare is the part of its burst that a process has at its start. It is small, since the
// process before it may have spent its own within the same window.
const startShare = 0.1

type (
	// Retries limits one daemon's attempts beyond the first of each request. The limit applies
	// to the whole fleet over a sliding window: a ratio of the requests for a service plus a
	// burst. Each daemon uses the ratio of its own requests and its share of the burst, so the
	// sum stays within the fleet's limit without coordination. Limits must be set before use.
	Retries struct {
		Limits func() RetryLimits
		// Since is when the process started.
		Since timekeeper.Millis
		Clock timekeeper.Clock

		lock     sync.Mutex
		services map[resolver.ServiceName]*window
	}

	// RetryUsage is the use of this daemon's part of the retry budget for one service.
	RetryUsage struct {
		Service resolver.ServiceName
		// Granted and Refused count the retries since the last report. Granted is less those that
		// were released, so it may be negative.
		Granted int
		Refused int
		// Requests and Retries are the counts within the window.
		Requests int
		Retries  int
		// Limits is this daemon's part.
		Limits RetryLimits
	}

	// RetryLimits is one daemon's part of the retry budget.
	RetryLimits struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Burst is this daemon's share of the retries that are allowed independently of the
		// number of requests.
		Burst float64
		// Window is how long a retry counts against the budget.
		Window timekeeper.Millis
	}

	// window counts the requests and retries of one service in consecutive time spans.
	window struct {
		spans [windowSpans]span
		// granted and refused count the retries since the last report.
		granted int
		refused int
	}

	span struct {
		number   int64
		requests int
		retries  int
	}
)

// windowSpans is the number of spans that a sliding window is divided into.
const windowSpans = 16

// CountRequest counts the first attempt of a request.
func (r *Retries) CountRequest(s resolver.ServiceName) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.currentSpan(s, r.Limits()).requests++
}

// Acquire takes one retry from the budget, and reports false if none is left.
func (r *Retries) Acquire(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	l := r.Limits()
	if !r.available(s, l) {
		r.services[s].refused++
		return false
	}
	r.currentSpan(s, l).retries++
	r.services[s].granted++
	return true
}

// Release returns a retry that was acquired and reached no upstream.
func (r *Retries) Release(s resolver.ServiceName) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.currentSpan(s, r.Limits()).retries--
	r.services[s].granted--
}

// Report returns the use of the budget for the services with retries granted or refused since the
// last call, sorted by service.
func (r *Retries) Report() (list []RetryUsage) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for s, w := range r.services {
		if w.granted == 0 && w.refused == 0 {
			continue
		}
		l := r.Limits()
		u := RetryUsage{Service: s, Granted: w.granted, Refused: w.refused, Limits: l}
		u.Requests, u.Retries = w.sum(r.currentSpan(s, l).number)
		w.granted, w.refused = 0, 0
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y RetryUsage) int { return cmp.Compare(x.Service, y.Service) })
	return list
}

// Available reports whether Acquire would succeed now.
func (r *Retries) Available(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.available(s, r.Limits())
}

func (r *Retries) available(s resolver.ServiceName, l RetryLimits) bool {
	now := r.currentSpan(s, l).number
	requests, retries := r.services[s].sum(now)
	return float64(retries+1) <= safetyFactor*l.Ratio*float64(requests)+l.Burst*r.earned(l)
}

// earned returns the part of the burst that this process may use: startShare at its start, and all
// of it after a window.
func (r *Retries) earned(l RetryLimits) float64 {
	age := r.Clock.Now() - r.Since
	return min(startShare+float64(age)/float64(max(l.Window, 1)), 1)
}

func (r *Retries) currentSpan(s resolver.ServiceName, l RetryLimits) *span {
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

func (w *window) sum(now int64) (requests, retries int) {
	for _, p := range w.spans {
		if p.number > now-windowSpans {
			requests += p.requests
			retries += p.retries
		}
	}
	return requests, retries
}
