package placer

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// urgentQueueFactor is the number of running and waiting requests, as a multiple of its
	// slots, that an upstream may report before the next candidate is considered. Waiting that
	// long takes less time than running the key on an upstream that does not know it.
	urgentQueueFactor = 2.5

	// failShareRatio is the maximum failure share of another upstream, relative to that of the
	// first choice, for it to replace a failing first choice. When all upstreams of a service
	// refuse half of their requests, their shares differ only by chance, and a key that leaves
	// for another upstream is slower there. It is also the error share, relative to the
	// failure share, below which an upstream counts as one that mostly refuses.
	failShareRatio = 0.5

	// maxKnownFailShare is the failure share from which an upstream that knows the request's
	// key is passed over even if it only refuses: above it, a late response of another
	// upstream is worth more than the small chance that this one accepts the request.
	maxKnownFailShare = 0.7

	// idleFactor is the number of requests, as a multiple of its slots, below which an
	// upstream counts as idle, so that a key may move there from a full one.
	idleFactor = 0.5

	// normalQueueFactor replaces urgentQueueFactor for requests below the most urgent rank of
	// their service, which leaves room for urgent ones when slots are scarce.
	normalQueueFactor = 2.0
)

// The reasons for passing over an upstream.
const (
	Accepts   Verdict = ""
	Gone      Verdict = "gone"
	Down      Verdict = "down"
	Paused    Verdict = "paused"
	Failing   Verdict = "failing"
	Cold      Verdict = "cold"
	QueueFull Verdict = "line"
	Attempted Verdict = "tried"
	// TooLate means that the response is expected after the request is given up.
	TooLate Verdict = "late"
	// Slow means that the response is expected past the objective, and that of another
	// upstream within it.
	Slow Verdict = "slow"
)

type (
	// Placer checks upstreams. The zero value enables all mechanisms.
	Placer struct {
		// Without is the set of disabled mechanisms.
		Without switcher.Set
		// Timing makes the Placer compare times where upstreams report their pace. Its zero
		// value makes it count requests.
		Timing Timing
	}

	// Verdict is the reason an upstream does not take a request, or Accepts if it does.
	Verdict string

	// State is what one daemon knows about an upstream when it selects one.
	State struct {
		Slots int
		// Own is the number of requests this daemon has at the upstream.
		Own int
		// Reported is the estimated number of running and waiting requests at the upstream, at
		// least Own.
		Reported float64
		// Gone reports that another incarnation now responds at the upstream's address.
		Gone bool
		// Down reports that the upstream was recently unreachable.
		Down bool
		// Paused reports that the upstream asked for no requests for a time that is not over.
		Paused bool
		// Failing reports that the upstream fails or refuses too many requests and is not due
		// for another attempt.
		Failing bool
		// FailShare is the moving average of the share of requests that it failed or refused.
		FailShare float64
		// ErrorShare is the moving average of the share of requests that it failed, without
		// refusals.
		ErrorShare float64
		// KnowsKey reports that the upstream recently ran the request's key, and so runs it
		// faster.
		KnowsKey bool
		// Cold reports that the upstream is warming up and its request rate is used up.
		Cold bool
		// Attempted reports that this request already had an attempt at the upstream.
		Attempted bool
		// Pace is how much longer work takes than usual on the upstream's host, 0 if that is
		// not known. Paced reports that the upstream reports its pace.
		Pace  float64
		Paced bool
		// RoundTrip is the time that a request and its response spend on the way.
		RoundTrip timekeeper.Millis
	}
)

// overloaded reports whether the upstream was passed over because its queue is full.
func (v Verdict) overloaded() bool {
	return v == QueueFull
}

// Reachable reports whether the upstream can take an attempt: it is neither gone nor down nor
// paused and had none for this request.
func (s State) Reachable() bool {
	return !s.Gone && !s.Down && !s.Paused && !s.Attempted
}

// excluded reports whether the upstream fails or refuses so many requests that other upstreams
// should get them. A refusal costs little, so an upstream that knows the key and mostly
// refuses stays preferable to one where the request would be late.
func (s State) excluded() bool {
	refuses := s.ErrorShare < s.FailShare*failShareRatio
	return s.Failing && !(s.KnowsKey && refuses && s.FailShare < maxKnownFailShare)
}

// idle reports whether the upstream has room for a key that it does not know, whose first
// requests take several times as long.
func (s State) idle() bool {
	return s.Reported < idleFactor*float64(max(s.Slots, 1))
}

// Check returns Accepts if the upstream takes a request now, and otherwise the reason it does
// not. urgent marks a request of the most urgent rank of its service.
func (p Placer) Check(s State, urgent bool) Verdict {
	switch {
	case s.Attempted:
		return Attempted
	case s.Gone:
		return Gone
	case s.Down && !p.Without.Has(switcher.BackOff):
		return Down
	case s.Paused:
		return Paused
	case s.excluded() && !p.Without.Has(switcher.FailureShares):
		return Failing
	case p.queueFull(s, urgent) && !p.Without.Has(switcher.QueueLimits):
		return QueueFull
	case p.tooLate(s):
		return TooLate
	case s.Cold:
		return Cold
	}
	return Accepts
}

// ChooseWithHome is like Choose for a key whose home is the first state. While the home's queue
// is full, the key either moves (move is true) to an idle upstream, or waits: the index is -1
// and the request is refused. A key that runs at another upstream without moving there evicts
// keys from that upstream's cache; after the loss of some upstreams, this keeps all others
// running unknown keys, at several times the work, long after the loss. Running it at
// upstreams that ran the key before does not pay off either.
func (p Placer) ChooseWithHome(states []State, urgent bool) (i int, first Verdict, move bool) {
	i, first = p.Choose(states, urgent)
	if i <= 0 || first == Slow || !first.overloaded() {
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

// Choose returns the index of the first state that takes a request, or -1, and the verdict on
// states[0], which is Slow if another one takes the request for that reason alone. A failing upstream is chosen if no other is left: when all of them refuse half of
// their requests, every second request is still served.
func (p Placer) Choose(states []State, urgent bool) (int, Verdict) {
	first, failing := Gone, -1
	for i, s := range states {
		v := p.Check(s, urgent)
		if i == 0 {
			first = v
		}
		if i == 0 && v == Accepts {
			if soonest := p.soonest(states, urgent); soonest > 0 {
				return soonest, Slow
			}
		}
		if v == Accepts && (first != Failing || s.FailShare < failShareRatio*states[0].FailShare) {
			return i, first
		}
		s.Failing = false
		if v == Failing && failing < 0 && p.Check(s, urgent) == Accepts {
			failing = i
		}
	}
	if failing >= 0 {
		return failing, first
	}
	return -1, first
}
