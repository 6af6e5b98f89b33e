package fronter

import (
	"sync"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// absentTimeout is how long a member that is not heard counts as one that may be alive. Regions lose
// each other for minutes.
const absentTimeout = 15 * timekeeper.Minute

// maxObservedStep is the longest time between two observations of the members that counts as time in
// which others could be heard: some intervals of their list.
const maxObservedStep = 2 * timekeeper.Second

type (
	// memberHistory holds the members that may be alive: those that are heard, and those that were
	// heard and did not leave. What the fleet may do in total is divided by their number. The number
	// of those heard would shrink at all members at once when they are cut from each other.
	memberHistory struct {
		lock    sync.Mutex
		members map[string]sighting
		// observed is how long members were observed, observedAt when they last were. Time in which
		// this process or VM was paused does not count: others can't be heard then.
		observed   timekeeper.Millis
		observedAt timekeeper.Millis
		// regions holds the hashes of the names of the members of each region, nil if they have changed.
		regions map[string][]hasher.Hash
		// informed reports whether the members are known from another source. A process that
		// started while this VM was cut off from some members hears the others only.
		informed bool
	}

	// sighting is when a member was last heard, by the time that members were observed, where it is,
	// and whether it was leaving then.
	sighting struct {
		region  string
		at      timekeeper.Millis
		leaving bool
	}
)

// observe records the members that are heard at a time, including this one.
func (h *memberHistory) observe(now timekeeper.Millis, heard []heartbeater.Member) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.advance(now)
	for _, m := range heard {
		h.record(m.Name, sighting{m.Site.Region(), h.observed, m.Leaving})
	}
	for name, s := range h.members {
		if s.leaving && s.at < h.observed || h.observed-s.at > absentTimeout {
			delete(h.members, name)
			h.regions = nil
		}
	}
}

// advance adds the time since the last call to the time of observation, unless this process was paused.
// The caller must hold the lock.
func (h *memberHistory) advance(now timekeeper.Millis) {
	if h.observedAt > 0 {
		h.observed += min(now-h.observedAt, maxObservedStep)
	}
	h.observedAt = now
}

// expect records members that are known from another source. They may be alive.
func (h *memberHistory) expect(members []heartbeater.Member) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.informed = true
	for _, m := range members {
		if _, known := h.members[m.Name]; !known {
			h.record(m.Name, sighting{region: m.Site.Region(), at: h.observed})
		}
	}
}

// record records a member. The caller must hold the lock.
func (h *memberHistory) record(name string, s sighting) {
	if h.members == nil {
		h.members = map[string]sighting{}
	}
	if former, known := h.members[name]; !known || former.region != s.region {
		h.regions = nil
	}
	h.members[name] = s
}

// precede returns how many members that may be alive precede a member in the rendezvous order of key,
// among those of a region, or among all if it has none. The result is false if the member is not
// among them, or if those that may be alive are not known.
func (h *memberHistory) precede(key hasher.Hash, region, name string) (n int, eligible bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !h.informed {
		return 0, false
	}
	own := hasher.OfString(name)
	for r, members := range h.byRegion() {
		if r != region && h.regions[region] != nil {
			continue
		}
		for _, m := range members {
			if m == own {
				eligible = true
			} else if hasher.Mix(key, m) > hasher.Mix(key, own) {
				n++
			}
		}
	}
	return n, eligible
}

// byRegion returns the hashes of the names of the members of each region. The caller must hold the lock.
func (h *memberHistory) byRegion() map[string][]hasher.Hash {
	if h.regions == nil {
		h.regions = map[string][]hasher.Hash{}
		for name, s := range h.members {
			h.regions[s.region] = append(h.regions[s.region], hasher.OfString(name))
		}
	}
	return h.regions
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
