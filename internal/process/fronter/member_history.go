package fronter

import (
	"sync"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// absentTimeout is how long a member that is not heard counts as one that may be alive. Regions lose
// each other for minutes.
const absentTimeout = 15 * timekeeper.Minute

type (
	// memberHistory holds the members that may be alive: those that are heard, and those that were
	// heard and did not leave. What the fleet may do in total is divided by their number. The number
	// of those heard would shrink at all members at once when they are cut from each other.
	memberHistory struct {
		lock    sync.Mutex
		members map[string]sighting
		// informed reports whether the members are known from another source. A process that
		// started while this VM was cut off from some members hears the others only.
		informed bool
	}

	// sighting is when a member was last heard, and whether it was leaving then.
	sighting struct {
		at      timekeeper.Millis
		leaving bool
	}
)

// observe records the members that are heard at a time, including this one.
func (h *memberHistory) observe(now timekeeper.Millis, heard []heartbeater.Member) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, m := range heard {
		h.record(m.Name, sighting{at: now, leaving: m.Leaving})
	}
	for name, s := range h.members {
		if s.leaving && s.at < now || now-s.at > absentTimeout {
			delete(h.members, name)
		}
	}
}

// expect records members that are known from another source. They may be alive.
func (h *memberHistory) expect(now timekeeper.Millis, members []heartbeater.Member) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.informed = true
	for _, m := range members {
		if _, known := h.members[m.Name]; !known {
			h.record(m.Name, sighting{at: now})
		}
	}
}

// record records a member. The caller must hold the lock.
func (h *memberHistory) record(name string, s sighting) {
	if h.members == nil {
		h.members = map[string]sighting{}
	}
	h.members[name] = s
}

// size returns how many members may be alive, including this one, or 0 if only those are known that
// are heard.
func (h *memberHistory) size() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.informed {
		return 0
	}
	return max(len(h.members), 1)
}
