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
	// firstBackOff is how long an upstream that was not reached gets nothing;
	// it doubles up to lastBackOff.
	firstBackOff = 250 * timekeeper.Millis(1)
	lastBackOff  = 4 * timekeeper.Second

	// reportLife is how long a reported load counts. It fades evenly, as the
	// requests that were counted end: about one request's work time.
	reportLife = 1000 * timekeeper.Millis(1)

	// failWeight is the weight of the latest outcome in the running share of
	// failures, and failLimit the share from which an upstream is spared: with
	// these, three failures in a row.
	failWeight = 0.15
	failLimit  = 0.35
	// spareFor is how often a failing upstream is tried all the same.
	spareFor = 500 * timekeeper.Millis(1)
)

type (
	// Report is the load that an upstream stated with an answer.
	Report struct {
		Running int
		Waiting int
		Slots   int
	}

	// Upstream is the state of one incarnation. Build it with Set.Of.
	Upstream struct {
		Pool *sender.Pool

		clock timekeeper.Clock
		lock  sync.Mutex
		own   int

		report     Report
		reportedAt timekeeper.Millis

		gone      bool
		downUntil timekeeper.Millis
		backOff   timekeeper.Millis

		// failing is the running share of requests that it failed or refused, breaking of
		// those that it failed.
		failing    float64
		breaking   float64
		spareUntil timekeeper.Millis

		cold *rate.Limiter
	}
)

// State returns what a choice needs to know.
func (u *Upstream) State(known *cataloger.Upstream) placer.State {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return placer.State{
		Slots:    max(known.Slots, u.report.Slots),
		Own:      u.own,
		Reported: u.reported(now),
		Gone:     u.gone,
		Down:     now < u.downUntil,
		Failing:  u.failing > failLimit && now < u.spareUntil,

		FailShare:  u.failing,
		BreakShare: u.breaking,
	}
}

// reported is the stated load, faded with its age, and never below what this
// daemon itself has there. The caller holds the lock.
func (u *Upstream) reported(now timekeeper.Millis) float64 {
	age := now - u.reportedAt
	load := 0.0
	if age < reportLife {
		load = float64(u.report.Running+u.report.Waiting) * float64(reportLife-age) / float64(reportLife)
	}
	return max(load, float64(u.own))
}

// Begin counts a request that is about to be sent.
func (u *Upstream) Begin() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.own++
	if u.failing > failLimit {
		u.spareUntil = u.clock.Now() + spareFor
	}
}

// End counts a request that ended.
func (u *Upstream) End() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.own--
}

// Note records a stated load.
func (u *Upstream) Note(r Report) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.report, u.reportedAt = r, now
}

// Reached records that the upstream answered at all, and whether the answer was
// a failure.
func (u *Upstream) Reached(failed bool) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff, u.downUntil = 0, 0
	u.judge(failed, failed, now)
}

// Refused records that the upstream answered that it did not run a request.
func (u *Upstream) Refused() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff, u.downUntil = 0, 0
	u.judge(true, false, now)
}

// Lost records that a request was sent and got no answer.
func (u *Upstream) Lost() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.judge(true, true, now)
}

// Unreached records that no connection could be opened.
func (u *Upstream) Unreached() {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.backOff = min(max(u.backOff*2, firstBackOff), lastBackOff)
	u.downUntil = now + u.backOff
	u.judge(true, true, now)
}

// Misdirected records that another incarnation answers at the address, and tells whether
// that is news.
func (u *Upstream) Misdirected() bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	news := !u.gone
	u.gone = true
	return news
}

// judge notes whether a request failed or was refused, and whether it failed.
func (u *Upstream) judge(failed, broke bool, now timekeeper.Millis) {
	u.failing += (share(failed) - u.failing) * failWeight
	u.breaking += (share(broke) - u.breaking) * failWeight
	if u.failing > failLimit {
		u.spareUntil = now + spareFor
	}
}

// share is that of one outcome.
func share(happened bool) float64 {
	if happened {
		return 1
	}
	return 0
}

// MayWarm tells whether a rate allows one more request while the upstream is cold.
func (u *Upstream) MayWarm(perSecond float64, burst int) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.coldRate(perSecond, burst).Tokens() >= 1
}

// Warm takes one request of the rate allowed while the upstream is cold, and reports
// false if there is none left.
func (u *Upstream) Warm(perSecond float64, burst int) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.coldRate(perSecond, burst).Allow()
}

// coldRate returns the limiter of requests while cold. The caller holds the lock.
func (u *Upstream) coldRate(perSecond float64, burst int) *rate.Limiter {
	if u.cold == nil {
		u.cold = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if u.cold.Limit() != rate.Limit(perSecond) {
		u.cold.SetLimit(rate.Limit(perSecond))
	}
	return u.cold
}
