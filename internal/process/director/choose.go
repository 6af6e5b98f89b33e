package director

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/hasher"
)

const (
	// MaxEntries is the most entries that callers take from one answer.
	MaxEntries = 64

	// leastEntries is how many entries an answer has if there are as many, so
	// that a caller who loses one, and the next, still has another.
	leastEntries = 3
)

// Choose returns the addresses of entries for a caller: of the ready members in its
// region, of all ready members if the region has none, and of the living ones if none
// is ready, as a caller can do more with an entry that refuses than with nothing.
//
// Callers spread evenly over an answer, so each entry stands in as many answers as its
// VM is strong, compared with the strongest. The same caller keeps the same entries:
// connections to one that is missing from the next answer are dropped.
func Choose(members []heartbeater.Member, region, caller string) []string {
	near := having(members, func(m heartbeater.Member) bool { return m.Ready && m.Site.Region() == region })
	if len(near) == 0 {
		near = having(members, func(m heartbeater.Member) bool { return m.Ready })
	}
	if len(near) == 0 {
		near = having(members, func(m heartbeater.Member) bool { return !m.Leaving })
	}
	return fronts(byStrength(near, hasher.OfString(caller)))
}

// byStrength leaves weak members out of some callers' answers.
func byStrength(members []heartbeater.Member, caller hasher.Hash) []heartbeater.Member {
	slices.SortStableFunc(members, func(x, y heartbeater.Member) int { return cmp.Compare(y.Strength, x.Strength) })
	var chosen []heartbeater.Member
	for _, m := range members {
		// The upper half of the bits, as a part of the strongest's strength.
		draw := uint64(hasher.Mix(caller, hasher.OfString(m.Name))) >> 32 * uint64(max(members[0].Strength, 1)) >> 32
		if len(chosen) < leastEntries || draw < uint64(m.Strength) {
			chosen = append(chosen, m)
		}
	}
	return chosen[:min(len(chosen), MaxEntries)]
}

func having(members []heartbeater.Member, take func(heartbeater.Member) bool) (chosen []heartbeater.Member) {
	for _, m := range members {
		if take(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func fronts(members []heartbeater.Member) (addresses []string) {
	for _, m := range members {
		addresses = append(addresses, m.Front)
	}
	return addresses
}
