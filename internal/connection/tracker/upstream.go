package tracker

import (
	"sync"

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
	}

	// Upstream is the state of one incarnation. It is created by Set.StateOf.
	Upstream struct {
		Pool *sender.Pool

		clock    timekeeper.Clock
		lock     sync.Mutex
		inFlight int

		report     Report
		reportedAt timekeeper.Millis

		replaced  bool
		downUntil timekeeper.Millis
		backOff   timekeeper.Millis

		// failureShare is the moving average of requests that failed or were
		// refused, errorShare that of requests that failed. Both are from 0 to 1.
		failureShare  float64
		errorShare    float64
		excludedUntil timekeeper.Millis

		limiter *rate.Limiter

		pausedUntil timekeeper.Millis
	}
)

// State returns the input for the choice of an upstream. catalogued is its entry in the
// catalog.
func (u *Upstream) State(catalogued *cataloger.Upstream) placer.State {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return placer.State{
		Slots:    max(catalogued.Slots, u.report.Slots),
		Own:      u.inFlight,
		Reported: u.estimatedLoad(now),
		Gone:     u.replaced,
		Down:     now < u.downUntil,
		Paused:   now < u.pausedUntil,
		Failing:  u.failureShare > failureThreshold && now < u.excludedUntil,

		FailShare:  u.failureShare,
		ErrorShare: u.errorShare,
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

// Begin counts a request that is about to be sent, and excludes a failing upstream
// from further requests for exclusionPeriod.
func (u *Upstream) Begin() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.inFlight++
	if u.failureShare > failureThreshold {
		u.excludedUntil = u.clock.Now() + exclusionPeriod
	}
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
}

// RecordResponse records a response, and whether it was a failure. It ends the back-off.
func (u *Upstream) RecordResponse(failed bool) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff, u.downUntil = 0, 0
	u.recordOutcome(failed, failed, now)
}

// RecordRefusal records a response that says that the request did not run. It ends the
// back-off.
func (u *Upstream) RecordRefusal() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff, u.downUntil = 0, 0
	u.recordOutcome(true, false, now)
}

// RecordLoss records that a request was sent and no response came.
func (u *Upstream) RecordLoss() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.recordOutcome(true, true, now)
}

// RecordDialFailure records a failed dial and starts or doubles the back-off.
func (u *Upstream) RecordDialFailure() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff = min(max(u.backOff*2, initialBackOff), maxBackOff)
	u.downUntil = now + u.backOff
	u.recordOutcome(true, true, now)
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

// recordOutcome adds an outcome to the moving averages: unsuccessful means that the request
// failed or was refused, failed that it failed. The caller holds the lock.
func (u *Upstream) recordOutcome(unsuccessful, failed bool, now timekeeper.Millis) {
	u.failureShare += (indicator(unsuccessful) - u.failureShare) * failureWeight
	u.errorShare += (indicator(failed) - u.errorShare) * failureWeight
	if u.failureShare > failureThreshold {
		u.excludedUntil = now + exclusionPeriod
	}
}

// indicator returns 1 if the event happened, and 0 otherwise.
func indicator(happened bool) float64 {
	if happened {
		return 1
	}
	return 0
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
