package assigner

import (
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

type (
	// Reason says why an upstream was the choice for a request.
	Reason string

	// Placement is the upstream that was chosen for a request, and why. It goes by value
	// and allocates nothing: BenchmarkHome has 0 B/op.
	Placement struct {
		// Upstream is nil if none takes the request.
		Upstream *cataloger.Upstream
		Reason   Reason
		// Former tells that the key ran at the upstream before and lived elsewhere since.
		Former bool
		// Left is the home that the key left, as it was last seen here. It is nil if the
		// key left none, or one that no request of this daemon has found.
		Left *cataloger.Upstream
	}
)

// The reasons for a choice. Home and Move give those about homes; the others are of
// requests that go elsewhere, which is not decided here.
const (
	// NotPlaced is for requests that no upstream took.
	NotPlaced Reason = ""
	// AtHome is for the home as it was known here before.
	AtHome Reason = "home"
	// NewKey is for a key without a known home, which got one now.
	NewKey Reason = "new key"
	// Unkept is for a key beyond MaxKeys, which goes by its hash.
	Unkept Reason = "unkept key"
	// Relieved is for a key that moved away from a crowded home.
	Relieved Reason = "crowded home"
	// Displaced is for a key whose home takes no work any more.
	Displaced Reason = "home gone"
	// Barred is for a key whose home is in a region where the route may not run now.
	Barred Reason = "home not allowed"
	// Overflowed is for a key that moved away from a home with too many requests.
	Overflowed Reason = "home full"
	// Visiting is for a request that runs beside its key's home, which is down, failing
	// or cold. The key stays at home.
	Visiting Reason = "home passed over"
	// Repeated is for a sending after one that was refused or broken, at any upstream but
	// the same one.
	Repeated Reason = "repeat elsewhere"
	// RepeatedThere is for a sending after one that was refused at the same upstream.
	RepeatedThere Reason = "repeat there"
	// Keyless is for a request without a key, or of a route that keeps to no homes: it
	// goes by its hash.
	Keyless Reason = "no key"
	// Isolated is for a request that crashed upstreams before: it goes by its own hash, away
	// from those of its key.
	Isolated Reason = "suspect"
)

// FormerSuffix marks, among the kinds of placements, those at a former home.
const FormerSuffix = ", former home"

// Kind is the reason, and whether the key ran at the upstream before.
func (p Placement) Kind() string {
	if p.Former {
		return string(p.Reason) + FormerSuffix
	}
	return string(p.Reason)
}

// left returns the home that h had, if a request of this daemon has found it there.
func (h *home) left() *cataloger.Upstream {
	if h.seen == nil || h.seen.Hash() != h.upstream {
		return nil
	}
	return h.seen
}

// moveFor moves a key and says what that means for the request that made it move.
func (a *Assigner) moveFor(why Reason, key hasher.Hash, h *home, to *cataloger.Upstream) Placement {
	p := Placement{Upstream: to, Reason: why, Former: h.former.has(to.Hash()), Left: h.left()}
	a.move(key, h, to)
	return p
}

// lost says why a key can't stay at its home.
func (h *home) lost(all []*cataloger.Upstream) Reason {
	if find(all, h.upstream, anyRegion) != nil {
		return Barred
	}
	return Displaced
}

func anyRegion(string) bool { return true }
