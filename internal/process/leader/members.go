package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// Silence is how long a member may be silent before it is taken off the
	// roster. It is longer than joiner.Validity, so by then the member has
	// stopped by its own clock.
	Silence = 9 * timekeeper.Second

	// rejoin is how long a lead that lost its lease has to be heard of as a
	// member.
	rejoin = 1500 * timekeeper.Millis(1)

	// workMemory is over how long the use of slots is averaged.
	workMemory = 2 * timekeeper.Second

	probeTimeout = 500 * time.Millisecond
	probeEvery   = 300 * time.Millisecond
	probeTries   = 20
)

type (
	// members is what a lead knows of the members of its region.
	members struct {
		lock   sync.Mutex
		all    map[registrar.Incarnation]*memberRecord
		work   map[workKey]*average
		damper Damper
		// past is the members that went lately.
		past []registrar.Past
	}

	memberRecord struct {
		member registrar.Member
		heard  timekeeper.Millis
		// since is the wall time at which it was taken in.
		since    timekeeper.Millis
		settings recorder.Number
		plan     planner.Number
		inFlight uint32
		leaving  bool
		dead     bool
		loads    map[loadKey]*framer.Load
	}

	loadKey struct {
		site    registrar.Site
		service resolver.ServiceName
	}

	workKey struct {
		service resolver.ServiceName
		origin  registrar.Site
	}

	// average is a mean that forgets.
	average struct {
		slots   float64
		rate    float64
		millis  uint64
		count   uint64
		updated timekeeper.Millis
	}
)

func newMembers() *members {
	return &members{all: map[registrar.Incarnation]*memberRecord{}, work: map[workKey]*average{}}
}

// inherit takes over the members of a roster that another lead wrote. Each has
// the full silence from now to be heard of, but for the lead before: its
// membership ended with its lease.
func (m *members) inherit(r registrar.Roster, before registrar.Incarnation, now timekeeper.Millis) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, x := range r.Members {
		if m.all[x.Incarnation] != nil {
			continue
		}
		heard := now
		if x.Incarnation == before {
			heard = now - Silence + rejoin
		}
		m.all[x.Incarnation] = &memberRecord{member: x, heard: heard, leaving: x.Leaving, since: x.SinceMillis}
	}
	m.past = r.Past
}

// hear notes a heartbeat and reports whether it brings news: the roster must
// change, or a number in force did.
func (m *members) hear(from registrar.Member, h *framer.Heartbeat, now, wall timekeeper.Millis) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	r := m.all[from.Incarnation]
	if r == nil && m.damper.Holds(from.Links, now) {
		return false
	}
	changed := r == nil || r.leaving != h.Leaving || r.dead ||
		r.settings != recorder.Number(h.Settings) || r.plan != planner.Number(h.Plan)
	if r == nil {
		r = &memberRecord{since: wall}
		m.all[from.Incarnation] = r
		m.replace(from)
	}
	r.member = from
	r.heard = now
	r.settings = recorder.Number(h.Settings)
	r.plan = planner.Number(h.Plan)
	r.inFlight = h.InFlight
	r.leaving = h.Leaving
	r.dead = false
	r.loads = map[loadKey]*framer.Load{}
	for _, l := range h.Loads {
		r.loads[loadKey{registrar.Site(l.Site), resolver.ServiceName(l.Service)}] = l
	}
	for _, w := range h.Works {
		m.average(workKey{resolver.ServiceName(w.Service), registrar.Site(w.Origin)}).add(w)
	}
	return changed
}

// replace marks earlier lives of a VM as dead: another process listens at its
// address now.
func (m *members) replace(by registrar.Member) {
	for i, r := range m.all {
		if i != by.Incarnation && r.member.Links == by.Links {
			r.dead = true
		}
	}
}

func (m *members) average(k workKey) *average {
	a := m.work[k]
	if a == nil {
		a = &average{}
		m.work[k] = a
	}
	return a
}

func (a *average) add(w *framer.Work) {
	a.millis += w.SlotMillis
	a.count += w.Requests
}

// roll folds what came since the last call into the mean.
func (a *average) roll(now timekeeper.Millis) {
	span := now - a.updated
	if span <= 0 {
		return
	}
	part := min(float64(span)/float64(workMemory), 1)
	a.slots += (float64(a.millis)/float64(span) - a.slots) * part
	a.rate += (float64(a.count)*1000/float64(span) - a.rate) * part
	a.millis = 0
	a.count = 0
	a.updated = now
}

// lapse drops members that were silent for too long or are known to be dead,
// and reports whether there were any.
func (m *members) lapse(now, wall timekeeper.Millis) []registrar.Member {
	m.lock.Lock()
	defer m.lock.Unlock()
	var gone []registrar.Member
	for i, r := range m.all {
		if r.dead || now-r.heard >= Silence {
			gone = append(gone, r.member)
			m.past = append(m.past, registrar.Past{Incarnation: i, SinceMillis: r.since, GoneMillis: wall})
			delete(m.all, i)
			if !r.leaving {
				m.damper.Lost(r.member.Links, now)
			}
		}
	}
	m.damper.Forget(now)
	m.past = slices.DeleteFunc(m.past, func(p registrar.Past) bool { return p.GoneMillis < wall-registrar.History })
	return gone
}

// bury marks a member as dead, unless it was heard of since.
func (m *members) bury(i registrar.Incarnation, since timekeeper.Millis) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if r := m.all[i]; r != nil && r.heard <= since {
		r.dead = true
	}
}

// known tells whether the member is on the list.
func (m *members) known(i registrar.Incarnation) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.all[i] != nil
}

// list returns the members as they stand on the roster.
func (m *members) list() ([]registrar.Member, []registrar.Past) {
	m.lock.Lock()
	defer m.lock.Unlock()
	var out []registrar.Member
	for _, r := range m.all {
		x := r.member
		x.Leaving = r.leaving
		x.SinceMillis = r.since
		out = append(out, x)
	}
	return out, slices.Clone(m.past)
}

// summarize fills in what the heartbeats told.
func (m *members) summarize(s *Summary, now timekeeper.Millis) {
	m.lock.Lock()
	defer m.lock.Unlock()
	loads := map[loadKey]*SiteLoad{}
	for _, r := range m.all {
		s.Members = append(s.Members, MemberState{
			Name:     r.member.Name,
			Settings: r.settings,
			Plan:     r.plan,
			InFlight: r.inFlight,
			Leaving:  r.leaving,
		})
		for k, l := range r.loads {
			addLoad(loads, k, l)
		}
	}
	for _, l := range loads {
		s.Sites = append(s.Sites, *l)
	}
	for k, a := range m.work {
		a.roll(now)
		s.Work = append(s.Work, OriginWork{Service: k.service, Origin: k.origin, Slots: a.slots, Rate: a.rate})
	}
	s.sort()
}

func addLoad(loads map[loadKey]*SiteLoad, k loadKey, l *framer.Load) {
	t := loads[k]
	if t == nil {
		t = &SiteLoad{Site: k.site, Service: k.service}
		loads[k] = t
	}
	t.Slots += l.Slots
	t.Busy += l.Busy
	t.Waiting += l.Waiting
	t.Peak += l.Peak
}

// runProbe finds out whether a member whose link was lost is dead: nothing
// listens at its address, or another process does. A link that was cut on the
// way shows neither, and the member keeps its place until it was silent.
func (l *Leader) runProbe(ctx context.Context, m registrar.Member, since timekeeper.Millis) {
	for range probeTries {
		if l.refuses(ctx, m) {
			l.members.bury(m.Incarnation, since)
			l.poke()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeEvery):
		}
	}
}

func (l *Leader) refuses(ctx context.Context, m registrar.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := l.Links.DialAddress(ctx, m.Links)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sameMembers tells whether two lists name the same members in the same state.
func sameMembers(a, b []registrar.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// staleLead tells whether a fence is behind what the roster carries.
func staleLead(mine, roster leaser.Fence) bool {
	return mine < roster
}
