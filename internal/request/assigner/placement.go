package assigner

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

type (
	// Reason is the reason an upstream was selected for a request.
	Reason string

	// Placement is the upstream selected for a request, and why. It is passed by value and
	// allocates nothing: BenchmarkHome reports 0 B/op.
	Placement struct {
		// Upstream is nil if no upstream takes the request.
		Upstream *cataloger.Upstream
		Reason   Reason
		// Former reports that the upstream ran the key before, as an earlier home or besides its
		// home.
		Former bool
		// Left is the home that the key moved from, as this daemon last saw it. It is nil if
		// the key did not move, or if no request of this daemon used that home.
		Left *cataloger.Upstream
	}
)

// The reasons for a placement. Home and Move return those about homes; callers set the others,
// for requests that run elsewhere.
const (
	// NotPlaced means that no upstream took the request.
	NotPlaced Reason = ""
	// AtHome means that the key already had this home.
	AtHome Reason = "home"
	// NewKey means that the key had no known home and was assigned one.
	NewKey Reason = "new key"
	// Untracked means that the key exceeds MaxKeys and is placed by its hash.
	Untracked Reason = "unkept key"
	// HomeCrowded means that the key moved from a crowded home.
	HomeCrowded Reason = "crowded home"
	// HomeGone means that the key's home no longer takes requests.
	HomeGone Reason = "home gone"
	// HomeNotAllowed means that the key's home is in a region where the route may not run now.
	HomeNotAllowed Reason = "home not allowed"
	// HomeFull means that the key moved from a home with too many requests.
	HomeFull Reason = "home full"
	// HomePassedOver means that the request runs at another upstream because its key's home is
	// down, failing or cold. The home does not change.
	HomePassedOver Reason = "home passed over"
	// RetriedElsewhere means a retry at another upstream, after an attempt that was refused or
	// failed.
	RetriedElsewhere Reason = "repeat elsewhere"
	// RetriedAtSameUpstream means a retry at the upstream that refused the previous attempt.
	RetriedAtSameUpstream Reason = "repeat there"
	// NoKey means that the request has no key, or its route does not use homes: it is placed
	// by its hash.
	NoKey Reason = "no key"
	// Isolated means that the request crashed upstreams before: it is placed by its own hash,
	// away from other requests of its key.
	Isolated Reason = "suspect"
)

// FormerSuffix is appended to the kind of placements at a former home.
const FormerSuffix = ", former home"

// Kind returns the reason, with FormerSuffix if the key ran at the upstream before.
func (p Placement) Kind() string {
	if p.Former {
		return string(p.Reason) + FormerSuffix
	}
	return string(p.Reason)
}

// lastSeenHome returns the current home of h, or nil if no request of this daemon used it.
func (h *home) lastSeenHome() *cataloger.Upstream {
	if h.lastSeen == nil || h.lastSeen.Hash() != h.upstream {
		return nil
	}
	return h.lastSeen
}

// moveWithReason moves a key and returns the placement of the request that caused the move.
func (a *Assigner) moveWithReason(reason Reason, key hasher.Hash, h *home, to *cataloger.Upstream) Placement {
	p := Placement{Upstream: to, Reason: reason, Former: h.formerHomes.contains(to.Hash()), Left: h.lastSeenHome()}
	a.move(key, h, to)
	return p
}

// lossReason returns why a key cannot stay at its home: it is gone, or not allowed.
func (h *home) lossReason(all *cataloger.Pool) Reason {
	if findUpstream(all, h.upstream, anyRegion) != nil {
		return HomeNotAllowed
	}
	return HomeGone
}

func anyRegion(string) bool { return true }
