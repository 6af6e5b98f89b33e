package pooler

import (
	"sync"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// announcementLifetime is how long the announcement of an upstream that this daemon does not own is
// kept. An upstream may be owned again after a reload or a change of the members.
const announcementLifetime = timekeeper.Minute

type (
	// announcements holds what upstreams announced in their responses, by address. It outlasts
	// their pools. The zero value is empty.
	announcements struct {
		lock      sync.Mutex
		byAddress map[string]*announcement
	}

	// announcement is what one upstream announced, shared by the pools that own its address.
	announcement struct {
		lock sync.Mutex
		// draining reports whether the upstream announced that it drains, last at
		// drainingSince.
		draining      bool
		drainingSince timekeeper.Millis
		// pausedUntil is the time until which the upstream wants no requests from this daemon.
		pausedUntil timekeeper.Millis
	}
)

// of returns the announcement of an upstream, and creates it on first use.
func (a *announcements) of(address string) *announcement {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.byAddress == nil {
		a.byAddress = map[string]*announcement{}
	}
	n := a.byAddress[address]
	if n == nil {
		n = &announcement{}
		a.byAddress[address] = n
	}
	return n
}

// forget drops the announcements of upstreams that are not owned, unless they may still matter.
func (a *announcements) forget(owned map[string]bool, now timekeeper.Millis) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for address, n := range a.byAddress {
		if !owned[address] && !n.mayMatter(now) {
			delete(a.byAddress, address)
		}
	}
}

func (n *announcement) mayMatter(now timekeeper.Millis) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return now < n.pausedUntil || n.draining && now < n.drainingSince+announcementLifetime
}

// record records the advice of a response to a request that began at some time, and reports
// whether it ends draining. Responses overtake each other: one to a request that began before an
// announcement was received may have been made before it, and nothing shortens a pause.
func (n *announcement) record(a advisor.Advice, began, now timekeeper.Millis) (returned bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if a.Pause > 0 {
		n.pausedUntil = max(n.pausedUntil, now+a.Pause)
	}
	switch {
	case a.Leaving:
		n.draining, n.drainingSince = true, now
	case n.draining && began > n.drainingSince:
		n.draining = false
		return true
	}
	return false
}

func (n *announcement) isDraining() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.draining
}

func (n *announcement) isPaused(now timekeeper.Millis) bool {
	return n.pauseEnd() > now
}

func (n *announcement) pauseEnd() timekeeper.Millis {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.pausedUntil
}
