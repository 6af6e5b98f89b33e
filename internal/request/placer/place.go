package placer

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

const (
	// ListLength is how many upstreams a key has. Without a bound an overload spreads keys
	// to upstreams that do not know them, whose work grows, and service does not recover.
	ListLength = 3

	// lineShare is how many requests, running and waiting, an upstream may
	// report before another one is asked, in parts of its slots: waiting there takes less
	// than the full work of a key that the other one does not know.
	lineShare = 2.5

	// betterShare is the part of the first choice's share of failures that another
	// upstream may have at most to be taken in its place. Where all upstreams of a
	// service refuse half of what they get, their shares differ by chance only, and a key
	// that leaves for another one is slower there.
	betterShare = 0.5

	// knownFailShare is the share of refusals from which an upstream is passed over that knows
	// the request's key: above it, even a late answer of another one is worth more.
	knownFailShare = 0.7

	// idleShare is how many requests an upstream may have at most for a key to
	// move there from a full one, in parts of its slots.
	idleShare = 0.5

	// laterShare is lineShare for requests that are not the most urgent of
	// their service, so that the urgent ones find room when slots are short.
	laterShare = 2.0
)

// The reasons for passing an upstream over.
const (
	Fit     Verdict = ""
	Gone    Verdict = "gone"
	Down    Verdict = "down"
	Failing Verdict = "failing"
	Cold    Verdict = "cold"
	Line    Verdict = "line"
	Tried   Verdict = "tried"
)

type (
	// Placer judges upstreams. The zero value has every mechanism.
	Placer struct {
		// Without are the mechanisms that are off.
		Without switcher.Set
	}

	// Verdict says why an upstream does not take a request; Fit is none.
	Verdict string

	// State is what one daemon knows of an upstream at the moment of choice.
	State struct {
		Slots int
		// Own is how many requests this daemon has there.
		Own int
		// Reported is how many run and wait there, as far as it is known: Own at least.
		Reported float64
		// Gone tells that its address answers for another incarnation.
		Gone bool
		// Down tells that it was not reached lately.
		Down bool
		// Failing tells that it fails too many requests and that it is not
		// time to try it again.
		Failing bool
		// FailShare is the running share of requests that it failed or refused.
		FailShare float64
		// BreakShare is that of requests that it failed and did not refuse.
		BreakShare float64
		// Knows tells that it ran the request's key lately, and works faster on it.
		Knows bool
		// Cold tells that its rate while cold is used up.
		Cold bool
		// Tried tells that this request was sent there before.
		Tried bool
	}
)

// full tells that an upstream was passed over since it has too much to do.
func (v Verdict) full() bool {
	return v == Line
}

// Reachable tells whether nothing is known that keeps requests from the upstream.
func (s State) Reachable() bool {
	return !s.Gone && !s.Down && !s.Tried
}

// spared tells whether the upstream fails or refuses so many requests that others should get
// them. A refusal costs little: one that knows the key is worth more then than another one,
// where its run would be late.
func (s State) spared() bool {
	refuses := s.BreakShare < s.FailShare*betterShare
	return s.Failing && !(s.Knows && refuses && s.FailShare < knownFailShare)
}

// idle tells whether an upstream has room for a key that it does not know, whose
// requests take several times as long at first.
func (s State) idle() bool {
	return s.Reported < idleShare*float64(max(s.Slots, 1))
}

// List appends to l the upstreams that a key prefers, best first: the rendezvous
// order of those that allowed takes. An upstream that comes or goes moves only
// its own keys.
func List(l []*cataloger.Upstream, key hasher.Hash, all []*cataloger.Upstream, allowed func(region string) bool) []*cataloger.Upstream {
	return ListOf(l, key, all, func(u *cataloger.Upstream) bool { return allowed(u.Site.Region()) })
}

// ListOf is List with a choice by upstream.
func ListOf(l []*cataloger.Upstream, key hasher.Hash, all []*cataloger.Upstream, take func(*cataloger.Upstream) bool) []*cataloger.Upstream {
	var scores [ListLength]hasher.Hash
	for _, u := range all {
		if !take(u) {
			continue
		}
		l = insert(l, &scores, u, hasher.Mix(key, u.Hash()))
	}
	return l
}

// insert keeps l sorted by falling score and at most ListLength long.
func insert(l []*cataloger.Upstream, scores *[ListLength]hasher.Hash, u *cataloger.Upstream, h hasher.Hash) []*cataloger.Upstream {
	n := len(l)
	at := n
	for at > 0 && h > scores[at-1] {
		at--
	}
	if at >= ListLength {
		return l
	}
	if n < ListLength {
		l = append(l, nil)
		n++
	}
	copy(l[at+1:n], l[at:n-1])
	copy(scores[at+1:n], scores[at:n-1])
	l[at], scores[at] = u, h
	return l
}

// Judge says whether an upstream takes a request now. Urgent is a request of the
// most urgent rank of its service.
func (p Placer) Judge(s State, urgent bool) Verdict {
	line := laterShare
	if urgent || p.Without.Has(switcher.Rank) {
		line = lineShare
	}
	slots := float64(max(s.Slots, 1))
	switch {
	case s.Tried:
		return Tried
	case s.Gone:
		return Gone
	case s.Down && !p.Without.Has(switcher.BackOff):
		return Down
	case s.spared() && !p.Without.Has(switcher.FailureShares):
		return Failing
	case s.Reported > line*slots && !p.Without.Has(switcher.LineLimits):
		return Line
	case s.Cold:
		return Cold
	}
	return Fit
}

// ChooseHomed chooses for a key whose home is the first state. While the home has too
// much to do, the key either moves, to an upstream that has little to do, or waits: its
// request is refused. A key that only visits another upstream pushes the keys of that one
// out of its memory; with a part of the upstreams lost, that keeps all of them at the full
// work of keys that they do not know, long after the loss. Visits to upstreams that ran the
// key before do not pay either.
func (p Placer) ChooseHomed(states []State, urgent bool) (i int, first Verdict, move bool) {
	i, first = p.Choose(states, urgent)
	if i <= 0 || !first.full() {
		return i, first, false
	}
	if states[i].idle() {
		return i, first, true
	}
	if p.Without.Has(switcher.Waiting) {
		return i, first, false
	}
	return -1, first, false
}

// Choose returns the first state that takes a request, or -1, and why the first
// one of all was passed over. A failing upstream is taken where no other is left: if all of them
// refuse half of what they get, every second request is still served.
func (p Placer) Choose(states []State, urgent bool) (int, Verdict) {
	first, failing := Gone, -1
	for i, s := range states {
		v := p.Judge(s, urgent)
		if i == 0 {
			first = v
		}
		if v == Fit && (first != Failing || s.FailShare < betterShare*states[0].FailShare) {
			return i, first
		}
		s.Failing = false
		if v == Failing && failing < 0 && p.Judge(s, urgent) == Fit {
			failing = i
		}
	}
	if failing >= 0 {
		return failing, first
	}
	return -1, first
}
