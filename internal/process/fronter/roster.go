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
	// roster holds the members that may be alive: those that are heard, and those that were heard
	// and did not leave. A member divides by their number what the fleet may do in total, since a
	// number of those heard would shrink at all members at once when they are cut from each other.
	roster struct {
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
func (r *roster) observe(now timekeeper.Millis, heard []heartbeater.Member) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, m := range heard {
		r.record(m.Name, sighting{at: now, leaving: m.Leaving})
	}
	for name, s := range r.members {
		if s.leaving && s.at < now || now-s.at > absentTimeout {
			delete(r.members, name)
		}
	}
}

// expect records members that are known from another source. They may be alive.
func (r *roster) expect(now timekeeper.Millis, members []heartbeater.Member) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.informed = true
	for _, m := range members {
		if _, known := r.members[m.Name]; !known {
			r.record(m.Name, sighting{at: now})
		}
	}
}

// record records a member. The caller must hold the lock.
func (r *roster) record(name string, s sighting) {
	if r.members == nil {
		r.members = map[string]sighting{}
	}
	r.members[name] = s
}

// size returns how many members may be alive, including this one, or 0 if only those are known that
// are heard.
func (r *roster) size() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.informed {
		return 0
	}
	return max(len(r.members), 1)
}
