package assigner

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// regionSalt makes the choice of a region independent of that of an upstream.
const regionSalt hasher.Hash = 0x72656769

type (
	// regionShare is the fraction of one region's keys that is assigned to a region.
	regionShare struct {
		region   string
		hash     hasher.Hash
		fraction float64
	}

	// regionSplit distributes the keys of a region's callers among regions.
	regionSplit []regionShare
)

// regionSplit distributes the keys of a request's route among the allowed regions so that, if each
// region had the same demand, all of them would be loaded in proportion to their slots. As
// many keys as possible stay in the region of their callers, those of the tightest routes
// first. Actual demand differs and changes; keys that overload a region are moved one by one.
func (a *Assigner) regionSplit(r Request, all *cataloger.Pool) regionSplit {
	slots := map[string]float64{}
	for _, g := range all.Groups() {
		if region := g.Site.Region(); r.Allowed(region) {
			slots[region] += float64(g.Slots)
		}
	}
	return splitBySlots(slots, a.Region, len(a.Regions), func(own float64) float64 {
		if a.Without.Has(switcher.TightRoutes) {
			return own
		}
		return a.demands[r.Service].localShare(r.Route, own)
	})
}

// splitBySlots distributes the keys of the callers of one place, self, among places with the given
// slots. self keeps as many as its slots carry if all of the count places have equal demand, and
// the others take the rest in proportion to their spare slots. If self has too few slots, adjust
// returns the fraction that it keeps.
func splitBySlots(slots map[string]float64, self string, count int, adjust func(float64) float64) regionSplit {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	if total == 0 {
		return nil
	}
	fairShare := 1 / float64(max(count, 1))
	spare, totalSpare := map[string]float64{}, 0.0
	for name, n := range slots {
		spare[name] = max(n/total-fairShare, 0)
		totalSpare += spare[name]
	}
	own := min(slots[self]/total/fairShare, 1)
	if own > 0 && own < 1 && totalSpare > 0 {
		own = adjust(own)
	}
	var s regionSplit
	for name := range slots {
		fraction := 0.0
		if totalSpare > 0 {
			fraction = (1 - own) * spare[name] / totalSpare
		}
		if name == self {
			fraction += own
		}
		if fraction > 0 {
			s = append(s, regionShare{name, hasher.OfString(name), fraction})
		}
	}
	return s
}

// regionOf returns the region of a key, "" for none. A region whose fraction grows takes keys
// from the others and causes no other moves.
func (s regionSplit) regionOf(key hasher.Hash) string {
	best, minDistance := "", 0.0
	for _, r := range s {
		d := hasher.Distance(hasher.Mix(key, regionSalt), r.hash, 1/r.fraction)
		if best == "" || d < minDistance {
			best, minDistance = r.region, d
		}
	}
	return best
}
