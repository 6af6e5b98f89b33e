package dispatcher

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// windowSpans is the number of spans that a window is divided into.
	windowSpans = 64

	// carrySpans is for how many spans a request allows retries.
	carrySpans = 15

	// safetyFactor is the part of the allowed ratio that this daemon uses. The rest covers the
	// retries in a window that requests of the carrySpans before it allow.
	safetyFactor = 0.8

	// startShare is the part of its burst that a process has at its start. It is small, since the
	// process before it may have spent its own within the same window.
	startShare = 0.2
)

type (
	// Retries limits one daemon's attempts beyond the first of each request. The limit applies
	// to the whole fleet over a sliding window: a ratio of the requests for a service plus a
	// burst. For each service a daemon has a token bucket. Each request adds the ratio, and time
	// adds the daemon's share of the burst once a window. The bucket holds that share and what the
	// requests of the last carrySpans have added. So the sum over all daemons stays within the
	// fleet's limit without coordination, also when callers move between daemons and when processes
	// are replaced. Limits must be set before use.
	Retries struct {
		Limits func() RetryLimits
		// Since is when the process started.
		Since timekeeper.Millis
		// Draw returns a random number in [0, 1). Nil draws one with math/rand.
		Draw  func() float64
		Clock timekeeper.Clock

		lock     sync.Mutex
		services map[resolver.ServiceName]*window
	}

	// RetryUsage is the use of this daemon's part of the retry budget for one service.
	RetryUsage struct {
		Service resolver.ServiceName
		// Granted, Refused and Released count the retries since the last report. Those released were
		// granted before, possibly before the last report.
		Granted  int
		Refused  int
		Released int
		// Requests and Retries are the counts within the window.
		Requests int
		Retries  int
		// Left is how many retries are left. A fraction is the probability of one more, after which
		// Left is negative.
		Left float64
		// Limits is this daemon's part.
		Limits RetryLimits
	}

	// RetryLimits is one daemon's part of the retry budget.
	RetryLimits struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Burst is this daemon's share of the retries that are allowed independently of the
		// number of requests. It may spend twice that in a window: what is saved at its beginning
		// and what is added in it.
		Burst float64
		// Window is how long a retry counts against the budget.
		Window timekeeper.Millis
	}

	// window is the token bucket of one service, with its requests and retries in consecutive
	// time spans.
	window struct {
		spans [windowSpans]span
		// tokens is how many retries may be sent, as of a time. It is negative after a retry that a
		// fraction of a token granted.
		tokens float64
		at     timekeeper.Millis
		// number is the number of the current span.
		number int64
		// threshold is the number of tokens, up to one, from which a retry is granted. It is drawn
		// again after each one and after carrySpans, so that a fraction of a token grants a retry
		// as often as it states.
		threshold float64
		drawnIn   int64
		// granted, refused and released count the retries since the last report.
		granted  int
		refused  int
		released int
	}

	span struct {
		number   int64
		requests int
		retries  int
	}
)

// CountRequest counts the first attempt of a request.
func (r *Retries) CountRequest(s resolver.ServiceName) {
	r.lock.Lock()
	defer r.lock.Unlock()
	l := r.Limits()
	w, p := r.update(s, l)
	p.requests++
	w.add(safetyFactor*l.Ratio, l)
}

// Acquire takes one retry from the budget, and reports false if none is left.
func (r *Retries) Acquire(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	w, p := r.update(s, r.Limits())
	if !w.available() {
		w.refused++
		return false
	}
	w.tokens--
	r.drawThreshold(w)
	p.retries++
	w.granted++
	return true
}

// Available reports whether Acquire would succeed now.
func (r *Retries) Available(s resolver.ServiceName) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	w, _ := r.update(s, r.Limits())
	return w.available()
}

// Release returns a retry that was acquired and reached no upstream.
func (r *Retries) Release(s resolver.ServiceName) {
	r.lock.Lock()
	defer r.lock.Unlock()
	l := r.Limits()
	w, p := r.update(s, l)
	p.retries--
	w.released++
	w.add(1, l)
}

// Report returns the use of the budget for the services with retries since the last call, sorted by
// service.
func (r *Retries) Report() (list []RetryUsage) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for s, w := range r.services {
		if w.granted+w.refused+w.released == 0 {
			continue
		}
		l := r.Limits()
		r.update(s, l)
		requests, retries := w.sum(windowSpans)
		list = append(list, RetryUsage{
			Service: s, Granted: w.granted, Refused: w.refused, Released: w.released, Limits: l,
			Requests: requests, Retries: retries, Left: w.tokens,
		})
		w.granted, w.refused, w.released = 0, 0, 0
	}
	slices.SortFunc(list, func(x, y RetryUsage) int { return cmp.Compare(x.Service, y.Service) })
	return list
}

// update brings the bucket of a service up to date and returns it with its current span.
func (r *Retries) update(s resolver.ServiceName, l RetryLimits) (*window, *span) {
	length := max(l.Window, windowSpans)
	if r.services == nil {
		r.services = map[resolver.ServiceName]*window{}
	}
	w := r.services[s]
	if w == nil {
		w = &window{at: r.Since - timekeeper.Millis(startShare*float64(length))}
		r.services[s] = w
	}
	now := r.Clock.Now()
	w.number = int64(now / (length / (windowSpans - 1)))
	p := &w.spans[w.number%windowSpans]
	if p.number != w.number {
		*p = span{number: w.number}
	}
	if w.number-w.drawnIn >= carrySpans || w.threshold == 0 {
		r.drawThreshold(w)
	}
	earned := l.Burst * float64(now-w.at) / float64(length)
	w.at = now
	w.add(earned, l)
	return w, p
}

func (w *window) available() bool {
	return w.tokens >= w.threshold
}

// drawThreshold draws the threshold of a bucket from (0, 1].
func (r *Retries) drawThreshold(w *window) {
	draw := r.Draw
	if draw == nil {
		draw = rand.Float64
	}
	w.threshold, w.drawnIn = 1-draw(), w.number
}

// add adds tokens as far as they fit.
func (w *window) add(tokens float64, l RetryLimits) {
	requests, _ := w.sum(carrySpans)
	w.tokens = min(w.tokens+tokens, l.Burst+safetyFactor*l.Ratio*float64(requests))
}

// sum returns the requests and retries of the last spans, including the current one.
func (w *window) sum(spans int64) (requests, retries int) {
	for _, p := range w.spans {
		if p.number > w.number-spans {
			requests += p.requests
			retries += p.retries
		}
	}
	return requests, retries
}
