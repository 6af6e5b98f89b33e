package limiter

import (
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The outcomes of a request.
const (
	// Waiting means that the request is not decided yet.
	Waiting Outcome = iota
	// Admitted means that the request may be sent.
	Admitted
	// OverLimit means that the request exceeds the limit of its organisation.
	OverLimit
	// Unknown means that no allocator responds and this daemon's own share is used up.
	Unknown
)

type (
	// Outcome is the outcome of a request for a token.
	Outcome uint8

	// Verdict is an outcome and the delay after which the caller may retry.
	Verdict struct {
		Outcome Outcome
		After   timekeeper.Millis
	}

	// Ticket is one request for a token.
	Ticket struct {
		Verdict Verdict
		// Decided is called once, under the lock of the Core's owner, when a waiting ticket is
		// decided. Nil means there is no callback.
		Decided func()

		// timeouts is how often the request moved on to another allocator.
		timeouts int
	}

	// FleetView is a daemon's view of the fleet members that share the limits.
	FleetView struct {
		// Known is the number of fleet members that may send requests, including this one.
		// Reachable is the number of those in its region that are known to be alive, also
		// including this one.
		Known     int
		Reachable int
		// IsAllocator reports that this member is the limit allocator of its region. Otherwise
		// Allocator is the address of that allocator, or "" if there is none.
		IsAllocator bool
		Allocator   string
		// Others are the addresses of the allocators of the other regions. An allocator
		// borrows from them, and a daemon acquires from them when its region's allocator does
		// not respond.
		Others []string
		// Isolated reports that the member knows others, none of which is known to be alive.
		Isolated bool
		// Starting reports that the member has just started and does not know yet whether
		// other members in its region are alive.
		Starting bool
		// SingleDaemon reports that there are no other daemons by design: buckets begin full.
		SingleDaemon bool
	}
)

func (t *Ticket) decide(v Verdict) {
	if t.Verdict.Outcome != Waiting {
		return
	}
	t.Verdict = v
	if t.Decided != nil {
		t.Decided()
	}
}

// regionShare returns the region's share of a limit.
func (v FleetView) regionShare() float64 {
	return float64(v.Reachable) / float64(max(v.Known, v.Reachable, 1))
}

// ownShare returns the share of a daemon that reaches no allocator.
func (v FleetView) ownShare() float64 {
	return 1 / float64(max(v.Known, 1))
}
