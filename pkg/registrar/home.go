package registrar

import (
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// clockSkew is by how much the wall clocks of leads may differ, with the time that
// a roster takes to reach all daemons. A membership is taken to have begun that
// much earlier and to have ended that much later, or the other way round,
// whichever names more homes.
const clockSkew = 30 * timekeeper.Second

type (
	// period is the time during which an incarnation was a member.
	period struct {
		incarnation Incarnation
		hash        hasher.Hash
		span
	}

	span struct{ from, to timekeeper.Millis }
)

// Home returns the member that a key belongs to now, by rendezvous over all
// members.
func (v *View) Home(key string) (Member, bool) {
	return OwnerAmong(v.members, key)
}

// Homes returns the incarnations to which a key may have belonged between two
// wall times, whoever asked and whichever roster they knew. They need not be
// members any more.
func (v *View) Homes(key string, from, to timekeeper.Millis) []Incarnation {
	h := hasher.OfString(key)
	all := v.periods(span{from, to})
	slices.SortFunc(all, func(a, b period) int {
		if hasher.Mix(h, a.hash) > hasher.Mix(h, b.hash) {
			return -1
		}
		return 1
	})
	// In order of preference: each is the home while it was a member and none
	// before it was. What is left of the span shrinks accordingly.
	var out []Incarnation
	left := []span{{from, to}}
	for _, p := range all {
		if touches(left, span{p.from - clockSkew, p.to + clockSkew}) {
			out = append(out, p.incarnation)
		}
		left = subtract(left, span{p.from + clockSkew, p.to - clockSkew})
	}
	return out
}

// periods returns who was a member at any time in s. A member of now stays one.
func (v *View) periods(s span) []period {
	var all []period
	for _, m := range v.members {
		all = append(all, period{m.Incarnation, hasher.OfString(string(m.Incarnation)), span{m.SinceMillis, s.to + 2*clockSkew}})
	}
	for _, p := range v.past {
		all = append(all, period{p.Incarnation, hasher.OfString(string(p.Incarnation)), span{p.SinceMillis, p.GoneMillis}})
	}
	return all
}

// subtract takes a span from a list of spans.
func subtract(list []span, s span) []span {
	if s.from >= s.to {
		return list
	}
	var out []span
	for _, x := range list {
		if s.to <= x.from || s.from >= x.to {
			out = append(out, x)
			continue
		}
		if x.from < s.from {
			out = append(out, span{x.from, s.from})
		}
		if s.to < x.to {
			out = append(out, span{s.to, x.to})
		}
	}
	return out
}

func touches(list []span, s span) bool {
	return slices.ContainsFunc(list, func(x span) bool { return s.from <= x.to && s.to >= x.from })
}
