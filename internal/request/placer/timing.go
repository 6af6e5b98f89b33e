package placer

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Timing holds the times by which upstreams that report their pace are compared. A queue of a
// given length takes several times as long on a host that is slow at the moment, and a request
// with a long objective can wait where one with a short objective would be late. With the zero
// value, requests are counted instead.
type Timing struct {
	// Known is the run time, at the usual pace, of a request whose key the upstream knows,
	// First that of another one, and Mean the mean run time of the service's requests.
	Known, First, Mean timekeeper.Millis
	// Objective is the time within which a response has its full value. ObjectiveLeft is what
	// is left of it, and Left the time until the request is given up.
	Objective, ObjectiveLeft, Left timekeeper.Millis
}

// applies reports whether the upstream is judged by times.
func (t Timing) applies(s State) bool {
	return t.Known > 0 && s.Paced
}

// Response returns the expected time until the response of an upstream arrives: the round trip,
// the time in its queue, and the run.
func (t Timing) Response(s State) timekeeper.Millis {
	own := t.First
	if s.KnowsKey {
		own = t.Known
	}
	return s.RoundTrip + timekeeper.Millis(t.wait(s)+float64(own)*s.pace())
}

// wait returns the expected time in the upstream's queue, in milliseconds.
func (t Timing) wait(s State) float64 {
	slots := float64(max(s.Slots, 1))
	ahead := max(s.Reported+1-slots, 0)
	return ahead / slots * float64(t.Mean) * s.pace()
}

// maxWait returns the longest time in the upstream's queue, in milliseconds, with which a request
// whose key the upstream knows meets its objective: a longer queue makes every request in it late.
// It is at least the time that the longest queue by count takes at the usual pace, since a late
// response is worth more to the caller than a refusal. Less urgent requests leave a part of either
// to urgent ones.
func (t Timing) maxWait(s State, queueFactor float64) float64 {
	left := float64(t.Objective-s.RoundTrip) - float64(t.Known)*s.pace()
	byRank := (queueFactor - 1) / (urgentQueueFactor - 1)
	return max(left*byRank, (queueFactor-1)*float64(t.Mean))
}

// pace returns how much longer work takes than usual on the upstream's host.
func (s State) pace() float64 {
	if s.Pace <= 0 {
		return 1
	}
	return s.Pace
}

// queueFull reports whether the upstream's queue is too long for the request.
func (p Placer) queueFull(s State, urgent bool) bool {
	factor := normalQueueFactor
	if urgent || p.Without.Has(switcher.Rank) {
		factor = urgentQueueFactor
	}
	if p.Timing.applies(s) {
		return p.Timing.wait(s) > p.Timing.maxWait(s, factor)
	}
	return s.Reported > factor*float64(max(s.Slots, 1))
}

// tooLate reports whether the response of the upstream would arrive after the request is given up.
func (p Placer) tooLate(s State) bool {
	return p.Timing.applies(s) && p.Timing.Response(s) > p.Timing.Left
}

// soonest returns the index of the upstream that takes the request in place of the first one, or
// 0. Another one takes it only if the first response is expected past the objective and its own
// within it. It must know the key if the first one does: a first run takes several times the work
// and evicts another key.
func (p Placer) soonest(states []State, urgent bool) int {
	if !p.Timing.applies(states[0]) || p.Timing.Response(states[0]) <= p.Timing.ObjectiveLeft {
		return 0
	}
	best, limit := 0, p.Timing.ObjectiveLeft+1
	for i, s := range states[1:] {
		if states[0].KnowsKey && !s.KnowsKey || p.Check(s, urgent) != Accepts {
			continue
		}
		if r := p.Timing.Response(s); r < limit {
			best, limit = i+1, r
		}
	}
	return best
}

// InTime reports whether the response of an upstream is expected within the objective, or the
// upstream is not judged by times.
func (p Placer) InTime(s State) bool {
	return !p.Timing.applies(s) || p.Timing.Response(s) <= p.Timing.ObjectiveLeft
}
