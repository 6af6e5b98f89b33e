package joiner

import (
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	pauseCheckInterval = 100 * time.Millisecond

	// maxPause is the longest time that the process may be stopped without
	// counting as paused. A member that is silent for less keeps its upstreams: neither
	// a leader nor, in an outage of the platform, its peers reassign them.
	maxPause = Validity
)

// pauseDetector detects that the process or its VM was stopped for a while. As long as
// a leader confirms a member, the time since the last confirmation shows this too. In
// an outage of the platform, however, a membership does not expire, and a process that
// was stopped for part of the outage must not continue as a member. The first check
// after the pause finds the gap, whether it is made by the loop or by a caller, so every
// later call takes the pause into account.
type pauseDetector struct {
	last   atomic.Int64
	pauses atomic.Uint64
}

// check returns how many pauses there were, the one that just ended included.
func (d *pauseDetector) check(now timekeeper.Millis) uint64 {
	last := timekeeper.Millis(d.last.Swap(int64(now)))
	if last != 0 && now-last > maxPause {
		return d.pauses.Add(1)
	}
	return d.pauses.Load()
}
