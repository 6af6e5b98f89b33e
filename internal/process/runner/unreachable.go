package runner

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	reachabilityInterval = 250 * time.Millisecond

	// refusedTimeout is how long a member must be unreachable to count as dead during
	// an outage of the platform if nothing, or another process, listens at its address.
	refusedTimeout = timekeeper.Second

	// unreachableTimeout is how long any other member must be unreachable to count as
	// dead.
	unreachableTimeout = 12 * timekeeper.Second
)

// unreachable lists the members of the region that this daemon considers dead
// during an outage of the platform, when no roster without them can be written. Each
// daemon keeps its own list, which works because a terminated process is unreachable for
// all of them. The list is dropped once rosters can be written again.
type unreachable struct {
	lock    sync.Mutex
	members map[registrar.Incarnation]bool
	// since is when a member was first found unreachable.
	since map[registrar.Incarnation]timekeeper.Millis
}

// list returns a copy of the members on the list.
func (u *unreachable) list() map[registrar.Incarnation]bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return maps.Clone(u.members)
}

// set replaces the list and reports whether it changed.
func (u *unreachable) set(members map[registrar.Incarnation]bool) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	if maps.Equal(u.members, members) {
		return false
	}
	u.members = members
	return true
}

// loopReachability checks the members of the region during an outage of the platform.
func (d *Daemon) loopReachability(ctx context.Context) {
	timekeeper.Every(ctx, reachabilityInterval, func() { d.checkReachability(ctx) })
}

func (d *Daemon) checkReachability(ctx context.Context) {
	var members map[registrar.Incarnation]bool
	if d.joiner.Outage() {
		members = d.findUnreachable(ctx)
	} else {
		members = d.confirmedDead(ctx)
		d.unreachable.since = nil
	}
	if d.unreachable.set(members) {
		d.log.WithFields(logrus.Fields{"away": len(members)}).Info("members away during the outage changed")
		d.triggerRebuild()
	}
}

// confirmedDead returns the members on the list that are still on the roster and whose last
// dial showed that they terminated. Once the platform is back, the leader takes some seconds
// to write a roster without them.
func (d *Daemon) confirmedDead(ctx context.Context) map[registrar.Incarnation]bool {
	before := d.unreachable.list()
	if len(before) == 0 {
		return nil
	}
	dead := map[registrar.Incarnation]bool{}
	for _, m := range d.regionPeers() {
		if p := d.links.Peer(ctx, m); before[m.Incarnation] && !p.Up() && p.Terminated() {
			dead[m.Incarnation] = true
		}
	}
	return dead
}

// formerIncarnations returns the members with the link address of this daemon: former
// incarnations on its VM.
func (d *Daemon) formerIncarnations(rosters []registrar.Roster) map[registrar.Incarnation]bool {
	out := map[registrar.Incarnation]bool{}
	for _, r := range rosters {
		for _, m := range r.Members {
			if m.Links == d.self.Links && m.Incarnation != d.self.Incarnation {
				out[m.Incarnation] = true
			}
		}
	}
	return out
}

// findUnreachable returns the members of the region that have been unreachable for
// longer than their timeout. A member with an open link is alive.
func (d *Daemon) findUnreachable(ctx context.Context) map[registrar.Incarnation]bool {
	if d.unreachable.since == nil {
		d.unreachable.since = map[registrar.Incarnation]timekeeper.Millis{}
	}
	now := d.clock.Now()
	members := map[registrar.Incarnation]bool{}
	for _, m := range d.regionPeers() {
		p := d.links.Peer(ctx, m)
		if p.Up() {
			delete(d.unreachable.since, m.Incarnation)
			continue
		}
		since, seen := d.unreachable.since[m.Incarnation]
		if !seen {
			d.unreachable.since[m.Incarnation] = now
			continue
		}
		timeout := unreachableTimeout
		if p.Terminated() {
			timeout = refusedTimeout
		}
		if now-since >= timeout {
			members[m.Incarnation] = true
		}
	}
	return members
}

// regionPeers returns the other members on the roster of the region.
func (d *Daemon) regionPeers() []registrar.Member {
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	var out []registrar.Member
	for _, m := range d.inputs.rosters[d.config.Region].Members {
		if m.Incarnation != d.self.Incarnation {
			out = append(out, m)
		}
	}
	return out
}
