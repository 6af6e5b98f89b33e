package director

import (
	"github.com/gullvale/gullvale/internal/process/heartbeater"
)

const (
	// MaxEntries is the most entries that callers take from one answer.
	MaxEntries = 64
)

// Choose returns the callers' addresses of the ready members in a region, of all
// ready members if the region has none, and of the living ones if none is ready:
// a caller can do more with an entry that refuses than with nothing.
func Choose(members []heartbeater.Member, region string) []string {
	ready := fronts(members, func(m heartbeater.Member) bool { return m.Ready && m.Site.Region() == region })
	if len(ready) == 0 {
		ready = fronts(members, func(m heartbeater.Member) bool { return m.Ready })
	}
	if len(ready) == 0 {
		ready = fronts(members, func(m heartbeater.Member) bool { return !m.Leaving })
	}
	return ready[:min(len(ready), MaxEntries)]
}

func fronts(members []heartbeater.Member, take func(heartbeater.Member) bool) (addresses []string) {
	for _, m := range members {
		if take(m) {
			addresses = append(addresses, m.Front)
		}
	}
	return addresses
}
