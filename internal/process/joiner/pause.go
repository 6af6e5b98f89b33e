package joiner

import (
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	pauseTick = 100 * time.Millisecond

	// pauseLimit is how long a process may stand still without being taken
	// for paused. Nobody acts for a member that is silent for less, neither a
	// lead nor, in an outage of the platform, its peers.
	pauseLimit = Validity
)

// pauseDetector notices that the process stood still: it was stopped, or its VM
// was. While a lead confirms a member its clock says as much, but in an outage the
// membership has no end, and a process that slept through a part of it must not
// go on as if it had been there. Whichever runs first after the pause, the loop
// or a question, finds the gap, so no question asked afterwards is answered as if
// nothing happened.
type pauseDetector struct {
	last   atomic.Int64
	pauses atomic.Uint64
}

// check returns how many pauses there were, the one that just ended included.
func (d *pauseDetector) check(now timekeeper.Millis) uint64 {
	last := timekeeper.Millis(d.last.Swap(int64(now)))
	if last != 0 && now-last > pauseLimit {
		return d.pauses.Add(1)
	}
	return d.pauses.Load()
}
