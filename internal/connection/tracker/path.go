package tracker

import (
	"sync"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Path is what was observed on one way to an upstream. It tells nothing of other ways: an upstream
// that this VM does not reach may be reached by others.
type Path struct {
	clock timekeeper.Clock
	lock  sync.Mutex

	downUntil timekeeper.Millis
	backOff   timekeeper.Millis

	// failureShare is the moving average of requests that failed or were
	// refused, errorShare that of requests that failed. Both are from 0 to 1.
	failureShare  float64
	errorShare    float64
	excludedUntil timekeeper.Millis
}

// pathState is the state of a path at one time.
type pathState struct {
	down, failing         bool
	failShare, errorShare float64
}

func (p *Path) state(now timekeeper.Millis) pathState {
	p.lock.Lock()
	defer p.lock.Unlock()
	return pathState{
		down:       now < p.downUntil,
		failing:    p.failureShare > failureThreshold && now < p.excludedUntil,
		failShare:  p.failureShare,
		errorShare: p.errorShare,
	}
}

// begin excludes a failing upstream from further requests on this path for exclusionPeriod.
func (p *Path) begin() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.failureShare > failureThreshold {
		p.excludedUntil = p.clock.Now() + exclusionPeriod
	}
}

// RecordResponse records a response, and whether it was a failure. It ends the back-off.
func (p *Path) RecordResponse(failed bool) {
	p.record(failed, failed, true)
}

// RecordRefusal records a response that says that the request did not run. It ends the
// back-off.
func (p *Path) RecordRefusal() {
	p.record(true, false, true)
}

// RecordLoss records that a request was sent and no response came.
func (p *Path) RecordLoss() {
	p.record(true, true, false)
}

// RecordDialFailure records a failed dial and starts or doubles the back-off.
func (p *Path) RecordDialFailure() {
	now := p.clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.backOff = min(max(p.backOff*2, initialBackOff), maxBackOff)
	p.downUntil = now + p.backOff
	p.recordOutcome(true, true, now)
}

// Reset drops what was observed.
func (p *Path) Reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.downUntil, p.backOff, p.excludedUntil = 0, 0, 0
	p.failureShare, p.errorShare = 0, 0
}

// record records an outcome; reached reports whether the upstream responded.
func (p *Path) record(unsuccessful, failed, reached bool) {
	now := p.clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	if reached {
		p.backOff, p.downUntil = 0, 0
	}
	p.recordOutcome(unsuccessful, failed, now)
}

// recordOutcome adds an outcome to the moving averages: unsuccessful means that the request
// failed or was refused, failed that it failed. The caller holds the lock.
func (p *Path) recordOutcome(unsuccessful, failed bool, now timekeeper.Millis) {
	p.failureShare += (indicator(unsuccessful) - p.failureShare) * failureWeight
	p.errorShare += (indicator(failed) - p.errorShare) * failureWeight
	if p.failureShare > failureThreshold {
		p.excludedUntil = now + exclusionPeriod
	}
}

// indicator returns 1 if the event happened, and 0 otherwise.
func indicator(happened bool) float64 {
	if happened {
		return 1
	}
	return 0
}
