package tracker

import "github.com/gullvale/gullvale/pkg/timekeeper"

// RecordPause records that the upstream wants no requests from this daemon for some time, and
// reports whether that extends the pause. Responses overtake each other, so nothing shortens a
// pause.
func (u *Upstream) RecordPause(length timekeeper.Millis) (extended bool) {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	if now+length <= max(u.pausedUntil, now) {
		return false
	}
	u.pausedUntil = now + length
	return true
}

// PauseLeft returns for how much longer the upstream wants no requests from this daemon, 0 if it
// takes them.
func (u *Upstream) PauseLeft() timekeeper.Millis {
	now := u.clock.Now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return max(u.pausedUntil-now, 0)
}
