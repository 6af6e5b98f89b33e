package tracker

import (
	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Announcement is what an upstream has announced about itself, as far as it is still in force.
type Announcement struct {
	// Leaving reports that the upstream accepts no new requests.
	Leaving bool
	// PausedUntil is the time until which the upstream wants no requests from this daemon.
	PausedUntil timekeeper.Millis
}

// Paused reports whether the upstream wants no requests from this daemon now.
func (a Announcement) Paused(now timekeeper.Millis) bool {
	return now < a.PausedUntil
}

// RecordAdvice records what a response announced, and reports whether that was new. Responses
// overtake each other, so nothing ends an announcement but the end of its time.
func (u *Upstream) RecordAdvice(a advisor.Advice) (changed bool) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	before := u.announced
	u.announced.Leaving = before.Leaving || a.Leaving
	if a.Pause > 0 {
		u.announced.PausedUntil = max(before.PausedUntil, now+a.Pause)
	}
	return u.announced != before
}

// Announced returns what the upstream has announced.
func (u *Upstream) Announced() Announcement {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.announced
}
