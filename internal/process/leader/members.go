package leader

import (
	"context"
	"errors"
	"math"
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

	// beatsPerSecond is how many heartbeats a second a lead asks for at most. At
	// the two years' size, 71 members, each then beats every 2.2 s, of which
	// three fit into joiner.Validity.
	beatsPerSecond = 32

	// rejoin is how long a lead that lost its lease has to be heard of as a
	// member.
	rejoin = 1500 * timekeeper.Millis(1)

	// digits is how many digits of an average a summary tells.
	digits = 3

	// leastUsage is the use of slots below which an origin is forgotten.
	leastUsage = 0.001

	probeTimeout = 500 * time.Millisecond
	probeEvery   = 300 * time.Millisecond
	probeTries   = 20
)

type (
	// members is what a lead knows of the members of its region.
	members struct {
		lock   sync.Mutex
		all    map[registrar.Incarnation]*memberRecord
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
		leaving  bool
		dead     bool
		loads    map[loadKey]SiteLoad
		work     map[workKey]usage
	}

	loadKey struct {
		site    registrar.Site
		service resolver.ServiceName
	}

	workKey struct {
		service resolver.ServiceName
		origin  registrar.Site
	}

	// usage is the slots in use on average by an origin's requests at the
	// upstreams of one member.
	usage float64
)

func newMembers() *members {
	return &members{all: map[registrar.Incarnation]*memberRecord{}}
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
//
// x is what the heartbeat says of loads, nil when nothing can be read from it; what
// was heard before stays then.
func (m *members) hear(from registrar.Member, h *framer.Heartbeat, x *reading, now, wall timekeeper.Millis) bool {
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
	r.leaving = h.Leaving
	r.dead = false
	if x != nil {
		r.measure(x)
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

// measure takes what a heartbeat said of loads. Half of what was known of the
// works stays, so that one busy span does not move anybody.
func (r *memberRecord) measure(x *reading) {
	r.loads = x.loads
	work := map[workKey]usage{}
	for k, u := range r.work {
		if u > leastUsage {
			work[k] = u / 2
		}
	}
	for k, u := range x.work {
		if _, known := r.work[k]; known {
			u /= 2
		}
		work[k] += u
	}
	r.work = work
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

// beat is the time between two heartbeats that m asks of everyone, so that what a
// lead hears does not grow with its region beyond a limit.
func (m *members) beat() timekeeper.Millis {
	m.lock.Lock()
	defer m.lock.Unlock()
	return max(timekeeper.Second, timekeeper.Second*timekeeper.Millis(len(m.all))/beatsPerSecond)
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
func (m *members) summarize(s *Summary) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.countNumbers(s)
	loads := map[loadKey]*SiteLoad{}
	work := map[workKey]usage{}
	for _, r := range m.all {
		for k, u := range r.work {
			work[k] += u
		}
		for k, l := range r.loads {
			addLoad(loads, k, l)
		}
	}
	for _, l := range loads {
		s.Sites = append(s.Sites, *l)
	}
	for k, u := range work {
		s.Work = append(s.Work, OriginWork{Service: k.service, Origin: k.origin, Slots: rounded(float64(u))})
	}
	s.sort()
}

// countNumbers fills in which numbers members run. The caller holds the lock.
func (m *members) countNumbers(s *Summary) {
	counts := map[NumberCount]NumberCount{}
	for _, r := range m.all {
		k := NumberCount{Settings: r.settings, Plan: r.plan}
		n := counts[k]
		n.Settings, n.Plan = r.settings, r.plan
		n.Members++
		if r.leaving {
			n.Leaving++
		}
		counts[k] = n
	}
	for _, n := range counts {
		s.Numbers = append(s.Numbers, n)
	}
}

// rounded keeps three digits, which is more than averages are worth.
func rounded(f float64) float64 {
	if f <= 0 {
		return 0
	}
	unit := math.Pow10(int(math.Floor(math.Log10(f))) - digits + 1)
	if unit >= 1 {
		return math.Round(f/unit) * unit
	}
	// Division by a whole number keeps the decimal short.
	return math.Round(f/unit) / math.Round(1/unit)
}

func addLoad(loads map[loadKey]*SiteLoad, k loadKey, l SiteLoad) {
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
