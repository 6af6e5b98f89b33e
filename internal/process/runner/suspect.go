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
	suspectEvery = 250 * time.Millisecond

	// refusedFor is how long nothing must listen at a member's address for it
	// to count as dead during an outage of the platform.
	refusedFor = timekeeper.Second

	// silentFor is how long a member must be out of reach otherwise.
	silentFor = 12 * timekeeper.Second
)

// suspects is the members that are away while the platform is, so that no roster
// can say it. Each daemon finds out for itself; a process that is gone is gone
// for all. The list is dropped as soon as rosters can be written again.
type suspects struct {
	lock sync.Mutex
	away map[registrar.Incarnation]bool
	// since is when a member was first found out of reach.
	since map[registrar.Incarnation]timekeeper.Millis
}

// list returns the members that are away.
func (s *suspects) list() map[registrar.Incarnation]bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.away)
}

func (s *suspects) set(away map[registrar.Incarnation]bool) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if maps.Equal(s.away, away) {
		return false
	}
	s.away = away
	return true
}

// loopSuspect watches the members of the region during an outage.
func (d *Daemon) loopSuspect(ctx context.Context) {
	timekeeper.Every(ctx, suspectEvery, func() { d.suspect(ctx) })
}

func (d *Daemon) suspect(ctx context.Context) {
	var away map[registrar.Incarnation]bool
	if d.joiner.Outage() {
		away = d.outOfReach(ctx)
	} else {
		away = d.stillGone(ctx)
		d.suspects.since = nil
	}
	if d.suspects.set(away) {
		d.log.WithFields(logrus.Fields{"away": len(away)}).Info("members away during the outage changed")
		d.trigger()
	}
}

// stillGone returns the members found to be away that are on the roster yet and
// still proved dead: once the platform is back, it takes the lead some seconds to
// write a roster without them.
func (d *Daemon) stillGone(ctx context.Context) map[registrar.Incarnation]bool {
	before := d.suspects.list()
	if len(before) == 0 {
		return nil
	}
	away := map[registrar.Incarnation]bool{}
	for _, m := range d.rosterMembers() {
		if p := d.links.Peer(ctx, m); before[m.Incarnation] && !p.Up() && p.Gone() {
			away[m.Incarnation] = true
		}
	}
	return away
}

// replaced returns the members at whose address this daemon listens: former lives
// of its VM.
func (d *Daemon) replaced(rosters []registrar.Roster) map[registrar.Incarnation]bool {
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

// outOfReach returns the members of the region that have been out of reach for
// long enough. A link that stands is proof of life.
func (d *Daemon) outOfReach(ctx context.Context) map[registrar.Incarnation]bool {
	if d.suspects.since == nil {
		d.suspects.since = map[registrar.Incarnation]timekeeper.Millis{}
	}
	now := d.clock.Now()
	away := map[registrar.Incarnation]bool{}
	for _, m := range d.rosterMembers() {
		p := d.links.Peer(ctx, m)
		if p.Up() {
			delete(d.suspects.since, m.Incarnation)
			continue
		}
		since, seen := d.suspects.since[m.Incarnation]
		if !seen {
			d.suspects.since[m.Incarnation] = now
			continue
		}
		patience := silentFor
		if p.Gone() {
			patience = refusedFor
		}
		if now-since >= patience {
			away[m.Incarnation] = true
		}
	}
	return away
}

// rosterMembers returns the other members of the region by its roster.
func (d *Daemon) rosterMembers() []registrar.Member {
	d.versions.lock.Lock()
	defer d.versions.lock.Unlock()
	var out []registrar.Member
	for _, m := range d.versions.rosters[d.config.Region].Members {
		if m.Incarnation != d.self.Incarnation {
			out = append(out, m)
		}
	}
	return out
}
