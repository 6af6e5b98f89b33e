package director

import (
	"cmp"
	"slices"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/hasher"
)

const (
	// MaxEntries is the maximum number of entries that callers accept in a response.
	MaxEntries = 64

	// minEntries is the minimum number of entries in a response, if that many
	// exist, so that a caller that loses two of them still has a third.
	minEntries = 3
)

// Choose returns the addresses of entries for a caller: those of the ready members in
// its region, of all ready members if the region has none, and of all members that are
// not leaving if none is ready, as an entry that refuses requests is of more use to a
// caller than none. Of these, members that reach no upstream are included only if there are
// fewer than minEntries others: they serve by handing requests over, which costs other members as much
// as a request of their own.
//
// Callers spread their requests evenly over the entries of a response. To share load by
// capacity, each entry is therefore included in a fraction of the responses that equals
// its VM's strength relative to the strongest one. The same caller always gets the same
// entries, because it drops connections to an entry that is missing from the next
// response.
func Choose(members []heartbeater.Member, region, caller string) []string {
	near := filter(members, func(m heartbeater.Member) bool { return m.Ready && m.Site.Region() == region })
	if len(near) == 0 {
		near = filter(members, func(m heartbeater.Member) bool { return m.Ready })
	}
	if len(near) == 0 {
		near = filter(members, func(m heartbeater.Member) bool { return !m.Leaving })
	}
	reaching := filter(near, func(m heartbeater.Member) bool { return !m.Cut })
	if len(reaching) == 0 {
		reaching = near
	}
	chosen := byStrength(reaching, hasher.OfString(caller))
	if missing := minEntries - len(reaching); missing > 0 && len(reaching) < len(near) {
		cut := byStrength(filter(near, func(m heartbeater.Member) bool { return m.Cut }), hasher.OfString(caller))
		chosen = append(chosen, cut[:min(missing, len(cut))]...)
	}
	return frontAddresses(chosen)
}

// byStrength returns the members that a caller gets. It omits weak members for some
// callers.
func byStrength(members []heartbeater.Member, caller hasher.Hash) []heartbeater.Member {
	slices.SortStableFunc(members, func(x, y heartbeater.Member) int { return cmp.Compare(y.Strength, x.Strength) })
	var chosen []heartbeater.Member
	for _, m := range members {
		// The upper 32 bits of the hash, scaled to the range from 0 to the highest
		// strength.
		hash := uint64(hasher.Mix(caller, hasher.OfString(m.Name))) >> 32 * uint64(max(members[0].Strength, 1)) >> 32
		if len(chosen) < minEntries || hash < uint64(m.Strength) {
			chosen = append(chosen, m)
		}
	}
	return some(chosen, caller)
}

// some returns MaxEntries of the members, if there are more. Different callers get different ones.
func some(members []heartbeater.Member, caller hasher.Hash) []heartbeater.Member {
	if len(members) <= MaxEntries {
		return members
	}
	slices.SortFunc(members, func(x, y heartbeater.Member) int {
		return cmp.Compare(hasher.Mix(hasher.OfString(y.Name), caller), hasher.Mix(hasher.OfString(x.Name), caller))
	})
	return members[:MaxEntries]
}

func filter(members []heartbeater.Member, take func(heartbeater.Member) bool) (chosen []heartbeater.Member) {
	for _, m := range members {
		if take(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func frontAddresses(members []heartbeater.Member) (addresses []string) {
	for _, m := range members {
		addresses = append(addresses, m.Front)
	}
	return addresses
}
