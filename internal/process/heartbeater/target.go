package heartbeater

import (
	"math/rand/v2"
	"slices"
)

// memberTargets returns the addresses that a member sends its heartbeats to while it does not lead.
// They include discovery addresses if it hears no leader.
func (b *Heartbeater) memberTargets(region string) []string {
	first := b.firstTargets(region, heartbeatTargets)
	now := b.Clock.Now()
	for _, k := range b.regions[region] {
		if now-k.lastLeading < leaderTimeout {
			return first
		}
	}
	return append(first, b.discoveryTargets()...)
}

// leaderTargets returns the addresses that a leader sends its heartbeats to: its region and the
// seeds, and discovery addresses while it hears no member. Two leaders of a region whose members
// don't know each other discover each other through a seed.
func (b *Heartbeater) leaderTargets(region string) []string {
	to := append(b.regionTargets(region), b.seedTargets()...)
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.lastHeartbeat < MemberTimeout && k.lastHeartbeat > 0 {
			return to
		}
	}
	return append(to, b.discoveryTargets()...)
}

// seedTargets returns the seeds except this member.
func (b *Heartbeater) seedTargets() []string {
	return slices.DeleteFunc(slices.Clone(b.Seeds), func(s string) bool { return s == b.self.Beats })
}

// discoveryTargets returns up to maxDiscoveryTargets random addresses of seeds and known
// members, for a member that hears no other.
func (b *Heartbeater) discoveryTargets() []string {
	to := b.seedTargets()
	for _, k := range b.members {
		to = append(to, k.Beats)
	}
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(len(to), maxDiscoveryTargets)]
}

// regionTargets returns the addresses of the other members of a region, including those that have
// been silent for less than forgetTimeout.
func (b *Heartbeater) regionTargets(region string) (to []string) {
	for _, k := range b.regions[region] {
		to = append(to, k.Beats)
	}
	return to
}

// remoteTargets returns the addresses of the first members of each other region.
func (b *Heartbeater) remoteTargets(region string) (to []string) {
	for r := range b.regions {
		if r == region {
			continue
		}
		first := b.firstTargets(r, targetsPerRegion)
		if len(first) == 0 {
			// No member there is known to be alive: try any that was.
			first = b.regionTargets(r)
			first = first[:min(len(first), targetsPerRegion)]
		}
		to = append(to, first...)
	}
	return to
}

// firstTargets returns the addresses of the first n living members of a region in the leader
// order.
func (b *Heartbeater) firstTargets(region string, n int) (to []string) {
	now := b.Clock.Now()
	for _, k := range b.regions[region] {
		if len(to) < n && k.isAlive(now) {
			to = append(to, k.Beats)
		}
	}
	return to
}
