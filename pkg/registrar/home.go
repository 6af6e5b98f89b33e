package registrar

import (
	"slices"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// clockSkew bounds the difference between the wall clocks of leaders plus the time
// that a roster takes to reach all daemons. Membership periods are extended or
// shortened by it at both ends, whichever yields more homes.
const clockSkew = 30 * timekeeper.Second

type (
	// period is the time span in which an incarnation was a member.
	period struct {
		incarnation Incarnation
		hash        hasher.Hash
		span
	}

	span struct{ from, to timekeeper.Millis }
)

// Home returns the current home of a key, chosen by rendezvous hashing over all
// members. It returns false if there are no members.
func (v *View) Home(key string) (Member, bool) {
	return OwnerAmong(v.members, key)
}

// PossibleHomes returns the incarnations that any daemon may have chosen as the home of a
// key between two wall times, whichever roster it knew. They may no longer be
// members.
func (v *View) PossibleHomes(key string, from, to timekeeper.Millis) []Incarnation {
	h := hasher.OfString(key)
	all := v.periods(span{from, to})
	slices.SortFunc(all, func(a, b period) int {
		if hasher.Mix(h, a.hash) > hasher.Mix(h, b.hash) {
			return -1
		}
		return 1
	})
	// In order of preference, each incarnation is the home for the part of its
	// period in which none of the preceding ones was a member. uncovered holds the
	// spans that are not covered yet.
	var out []Incarnation
	uncovered := []span{{from, to}}
	for _, p := range all {
		if overlapsAny(uncovered, span{p.from - clockSkew, p.to + clockSkew}) {
			out = append(out, p.incarnation)
		}
		uncovered = subtract(uncovered, span{p.from + clockSkew, p.to - clockSkew})
	}
	return out
}

// periods returns the periods of current and former members. The periods of
// current members extend beyond the end of s.
func (v *View) periods(s span) []period {
	var all []period
	for _, m := range v.members {
		all = append(all, period{m.Incarnation, hasher.OfString(string(m.Incarnation)), span{m.SinceMillis, s.to + 2*clockSkew}})
	}
	for _, p := range v.former {
		all = append(all, period{p.Incarnation, hasher.OfString(string(p.Incarnation)), span{p.SinceMillis, p.GoneMillis}})
	}
	return all
}

// subtract removes s from each span of list.
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

func overlapsAny(list []span, s span) bool {
	return slices.ContainsFunc(list, func(x span) bool { return s.from <= x.to && s.to >= x.from })
}
