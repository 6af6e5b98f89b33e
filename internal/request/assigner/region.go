package assigner

import (
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// regionSalt keeps the choice of a region apart from that of an upstream.
const regionSalt hasher.Hash = 0x72656769

type (
	// regionShare is the part of one region's keys that another region takes.
	regionShare struct {
		region string
		hash   hasher.Hash
		part   float64
	}

	// spread divides the keys of the callers of a region among regions.
	spread []regionShare
)

// spread divides the keys of a request's route among regions such that all regions are
// loaded in proportion to their slots if each region has the same demand, and as many keys
// as possible stay where their callers are, those of the tightest routes first. Demand
// differs and changes; keys that overload a region are moved one by one.
func (a *Assigner) spread(r Request, all []*cataloger.Upstream) spread {
	slots, total := map[string]float64{}, 0.0
	for _, u := range all {
		slots[u.Site.Region()] += float64(max(u.Slots, 1))
		total += float64(max(u.Slots, 1))
	}
	if total == 0 {
		return nil
	}
	even := 1 / float64(max(len(a.Regions), 1))
	spare, spares := map[string]float64{}, 0.0
	for name, n := range slots {
		spare[name] = max(n/total-even, 0)
		spares += spare[name]
	}
	own := min(slots[a.Region]/total/even, 1)
	if own > 0 && own < 1 && spares > 0 && !a.Without.Has(switcher.TightRoutes) {
		own = a.demands[r.Service].share(r.Route, own)
	}
	var s spread
	for name := range slots {
		part := 0.0
		if spares > 0 {
			part = (1 - own) * spare[name] / spares
		}
		if name == a.Region {
			part += own
		}
		if part > 0 {
			s = append(s, regionShare{name, hasher.OfString(name), part})
		}
	}
	return s
}

// home picks the region of a key, "" for none. A share that grows takes keys from
// the others and moves none besides.
func (s spread) home(key hasher.Hash) string {
	best, least := "", 0.0
	for _, r := range s {
		d := hasher.Distance(hasher.Mix(key, regionSalt), r.hash, 1/r.part)
		if best == "" || d < least {
			best, least = r.region, d
		}
	}
	return best
}
