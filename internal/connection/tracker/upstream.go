package tracker

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// initialBackOff is how long an upstream gets no requests after a failed
	// dial. It doubles with each further failure, up to maxBackOff.
	initialBackOff = 250 * timekeeper.Millis(1)
	maxBackOff     = 4 * timekeeper.Second

	// reportLifetime is the age at which a reported load no longer counts: about
	// the service time of one request. Until then its weight falls linearly, as
	// the requests in the report complete.
	reportLifetime = 1000 * timekeeper.Millis(1)

	// paceLifetime is the age at which a reported pace counts as the usual one. The load of
	// a shared host changes within fractions of a second.
	paceLifetime = 600 * timekeeper.Millis(1)

	// failureWeight is the weight of the latest outcome in the moving average of
	// failures. An upstream is excluded while the average is above
	// failureThreshold. With these values three consecutive failures exceed it.
	failureWeight    = 0.15
	failureThreshold = 0.35
	// exclusionPeriod is the interval between trial requests to a failing upstream.
	exclusionPeriod = 500 * timekeeper.Millis(1)
)

type (
	// Report is the load that an upstream reports with a response.
	Report struct {
		Running int
		Waiting int
		Slots   int
		// Pace is how much longer work takes than usual on the upstream's host, such as 2.5
		// for a slow one. 0 means that the upstream does not report it.
		Pace float64
	}

	// Upstream is the state of one incarnation. It is created by Set.StateOf.
	Upstream struct {
		Pool *sender.Pool
		// Direct is the way over connections of this VM, Relayed the one over other VMs.
		Direct, Relayed Path

		clock timekeeper.Clock
		// roundTrip is the shortest time in milliseconds that a dial took, 0 before the first.
		roundTrip atomic.Int64

		lock     sync.Mutex
		inFlight int

		report     Report
		reportedAt timekeeper.Millis

		// pace is the last reported pace, 0 if there was none, and pacedAt its time.
		pace    float64
		pacedAt timekeeper.Millis

		replaced bool

		limiter *rate.Limiter

		pausedUntil timekeeper.Millis
	}
)

// State returns the input for the choice of an upstream that is sent to over path, which is one of
// u's. catalogued is its entry in the catalog.
func (u *Upstream) State(catalogued *cataloger.Upstream, path *Path) placer.State {
	now := u.clock.Now()
	p := path.state(now)
	u.lock.Lock()
	defer u.lock.Unlock()
	return placer.State{
		Slots:    max(catalogued.Slots, u.report.Slots),
		Own:      u.inFlight,
		Reported: u.estimatedLoad(now),
		Gone:     u.replaced,
		Down:     p.down,
		Paused:   now < u.pausedUntil,
		Failing:  p.failing,

		FailShare:  p.failShare,
		ErrorShare: p.errorShare,

		Pace:      u.currentPace(now),
		Paced:     u.pace > 0,
		RoundTrip: timekeeper.Millis(u.roundTrip.Load()),
	}
}

// estimatedLoad returns the reported load, weighted by its age, and at least this
// daemon's own requests in flight. The caller holds the lock.
func (u *Upstream) estimatedLoad(now timekeeper.Millis) float64 {
	age := now - u.reportedAt
	load := 0.0
	if age < reportLifetime {
		load = float64(u.report.Running+u.report.Waiting) * float64(reportLifetime-age) / float64(reportLifetime)
	}
	return max(load, float64(u.inFlight))
}

// currentPace returns the reported pace, which fades to the usual one with its age. The caller
// holds the lock.
func (u *Upstream) currentPace(now timekeeper.Millis) float64 {
	age := now - u.pacedAt
	if u.pace <= 0 || age >= paceLifetime {
		return 1
	}
	return 1 + (u.pace-1)*float64(paceLifetime-age)/float64(paceLifetime)
}

// Begin counts a request that is about to be sent over path, and excludes a failing upstream
// from further requests for exclusionPeriod.
func (u *Upstream) Begin(path *Path) {
	path.begin()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.inFlight++
}

// End counts a request that is no longer in flight.
func (u *Upstream) End() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.inFlight--
}

// RecordLoad records a reported load.
func (u *Upstream) RecordLoad(r Report) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.report, u.reportedAt = r, now
	if r.Pace > 0 {
		u.pace, u.pacedAt = r.Pace, now
	}
}

// MarkReplaced records that another incarnation responds at the address, and reports
// whether that was not known before.
func (u *Upstream) MarkReplaced() bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	first := !u.replaced
	u.replaced = true
	return first
}

// WarmupAllows reports whether the rate limit allows one more request while the upstream
// is cold. It takes no token.
func (u *Upstream) WarmupAllows(perSecond float64, burst int) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.coldLimiter(perSecond, burst).Tokens() >= 1
}

// TakeWarmupToken takes one token from the rate limit while the upstream is cold, and
// reports whether there was one.
func (u *Upstream) TakeWarmupToken(perSecond float64, burst int) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.coldLimiter(perSecond, burst).Allow()
}

// coldLimiter returns the rate limiter of requests while the upstream is cold, set to
// perSecond. The caller holds the lock.
func (u *Upstream) coldLimiter(perSecond float64, burst int) *rate.Limiter {
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if u.limiter.Limit() != rate.Limit(perSecond) {
		u.limiter.SetLimit(rate.Limit(perSecond))
	}
	return u.limiter
}
