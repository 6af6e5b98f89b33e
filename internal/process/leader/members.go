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
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MemberTimeout is the time without a heartbeat after which a member is removed from
	// the roster. It is longer than joiner.Validity, so by then the member has
	// already stopped acting as one by its own clock.
	MemberTimeout = 9 * timekeeper.Second

	// maxHeartbeatsPerSecond is the highest rate of heartbeats that a leader asks its
	// region for. With 71 members, the largest region planned for, each sends one
	// every 2.2 s, and three of them fit into joiner.Validity.
	maxHeartbeatsPerSecond = 32

	// formerLeaderTimeout is how long a former leader has to send a heartbeat as an ordinary
	// member before it is removed from the roster.
	formerLeaderTimeout = 1500 * timekeeper.Millis(1)

	// significantDigits is the number of significant digits of the averages in a summary.
	significantDigits = 3

	// noEra is the era of members that report none: nobody waits for them.
	noEra storer.Era = math.MaxUint64

	// minUsage is the average slot use below which an origin is dropped.
	minUsage = 0.001

	probeTimeout  = 500 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeAttempts = 20
)

type (
	// members is the leader's record of the members of its region.
	members struct {
		lock   sync.Mutex
		all    map[registrar.Incarnation]*memberRecord
		damper Damper
		// past lists members that left the roster within registrar.HistoryRetention.
		past []registrar.FormerMember
	}

	memberRecord struct {
		member        registrar.Member
		lastHeartbeat timekeeper.Millis
		// since is the wall time at which the member was admitted.
		since      timekeeper.Millis
		settings   recorder.Number
		plan       planner.Number
		leaving    bool
		terminated bool
		// era is the latest era of the store that the member knows, and changes the last
		// change of settings that it knew then. Both are valid if heard is set; a member of
		// a version without eras reports noEra.
		heard   bool
		era     storer.Era
		changes recorder.Number
		loads   map[loadKey]SiteLoad
		work    map[workKey]usage
	}

	loadKey struct {
		site    registrar.Site
		service resolver.ServiceName
	}

	workKey struct {
		service resolver.ServiceName
		origin  registrar.Site
	}

	// usage is the average number of slots that an origin's requests use at the
	// upstreams of one member.
	usage float64
)

func newMembers() *members {
	return &members{all: map[registrar.Incarnation]*memberRecord{}}
}

// adoptRoster adds the members of a roster written by an earlier leader. Each has the
// full MemberTimeout from now to send a heartbeat, except previousLeader, whose
// membership ended with its lease and which has only formerLeaderTimeout.
func (m *members) adoptRoster(r registrar.Roster, previousLeader registrar.Incarnation, now timekeeper.Millis) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, x := range r.Members {
		if m.all[x.Incarnation] != nil {
			continue
		}
		lastHeartbeat := now
		if x.Incarnation == previousLeader {
			lastHeartbeat = now - MemberTimeout + formerLeaderTimeout
		}
		m.all[x.Incarnation] = &memberRecord{member: x, lastHeartbeat: lastHeartbeat, leaving: x.Leaving, since: x.SinceMillis}
	}
	m.past = r.Past
}

// recordHeartbeat records a heartbeat and reports whether the roster or a number in force
// changes with it.
//
// x holds the loads in the heartbeat. If it is nil, because there are none or they
// cannot be decoded, the member's previous loads are kept.
func (m *members) recordHeartbeat(from registrar.Member, h *framer.Heartbeat, x *loadReport, now, wall timekeeper.Millis) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	r := m.all[from.Incarnation]
	if r == nil && m.damper.Suppresses(from.Links, now) {
		return false
	}
	changed := r == nil || r.leaving != h.Leaving || r.terminated ||
		r.settings != recorder.Number(h.Settings) || r.plan != planner.Number(h.Plan)
	if r == nil {
		r = &memberRecord{since: wall}
		m.all[from.Incarnation] = r
		m.markSuperseded(from)
	}
	r.member = from
	r.lastHeartbeat = now
	r.settings = recorder.Number(h.Settings)
	r.plan = planner.Number(h.Plan)
	r.leaving = h.Leaving
	r.terminated = false
	r.heard, r.era, r.changes = true, storer.Era(h.LatestEra), recorder.Number(h.Changes)
	if h.Era == nil {
		r.era = noEra
	}
	if x != nil {
		r.updateLoads(x)
	}
	return changed
}

// markSuperseded marks earlier incarnations at the same address as terminated: another
// process listens there now.
func (m *members) markSuperseded(by registrar.Member) {
	for i, r := range m.all {
		if i != by.Incarnation && r.member.Links == by.Links {
			r.terminated = true
		}
	}
}

// updateLoads updates the member's loads from a heartbeat. Work is averaged with half of
// the previous value, so that one busy interval does not move any traffic.
func (r *memberRecord) updateLoads(x *loadReport) {
	r.loads = x.loads
	work := map[workKey]usage{}
	for k, u := range r.work {
		if u > minUsage {
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

// removeExpired removes members that have been silent for MemberTimeout or have terminated, and
// returns them.
func (m *members) removeExpired(now, wall timekeeper.Millis) []registrar.Member {
	m.lock.Lock()
	defer m.lock.Unlock()
	var removed []registrar.Member
	for i, r := range m.all {
		if r.terminated || now-r.lastHeartbeat >= MemberTimeout {
			removed = append(removed, r.member)
			m.past = append(m.past, registrar.FormerMember{Incarnation: i, SinceMillis: r.since, GoneMillis: wall})
			delete(m.all, i)
			if !r.leaving {
				m.damper.RecordLoss(r.member.Links, now)
			}
		}
	}
	m.damper.Prune(now)
	m.past = slices.DeleteFunc(m.past, func(p registrar.FormerMember) bool { return p.GoneMillis < wall-registrar.HistoryRetention })
	return removed
}

// haveReported reports whether all members know that the store is in an era, and know no change of
// settings after last.
func (m *members) haveReported(e storer.Era, last recorder.Number) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, r := range m.all {
		if !r.terminated && (!r.heard || r.era < e || r.changes > last) {
			return false
		}
	}
	return true
}

// markTerminated marks a member as terminated unless it sent a heartbeat after since.
func (m *members) markTerminated(i registrar.Incarnation, since timekeeper.Millis) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if r := m.all[i]; r != nil && r.lastHeartbeat <= since {
		r.terminated = true
	}
}

// heartbeatInterval returns the heartbeat interval to ask of every member. It grows with the
// region so that the leader receives at most maxHeartbeatsPerSecond.
func (m *members) heartbeatInterval() timekeeper.Millis {
	m.lock.Lock()
	defer m.lock.Unlock()
	return max(timekeeper.Second, timekeeper.Second*timekeeper.Millis(len(m.all))/maxHeartbeatsPerSecond)
}

// contains reports whether the member is in m.
func (m *members) contains(i registrar.Incarnation) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.all[i] != nil
}

// list returns the current and past members as they are written to the roster.
func (m *members) list() ([]registrar.Member, []registrar.FormerMember) {
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

// summarize fills in the numbers, loads and work reported by heartbeats.
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
		s.Work = append(s.Work, OriginWork{Service: k.service, Origin: k.origin, Slots: roundSignificant(float64(u))})
	}
	s.sort()
}

// countNumbers fills in how many members run each pair of settings and plan numbers.
// The caller must hold the lock.
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

// roundSignificant rounds f to significantDigits, which is finer than the accuracy of the
// averages.
func roundSignificant(f float64) float64 {
	if f <= 0 {
		return 0
	}
	unit := math.Pow10(int(math.Floor(math.Log10(f))) - significantDigits + 1)
	if unit >= 1 {
		return math.Round(f/unit) * unit
	}
	// Dividing by a whole number, rather than multiplying by a fraction, yields a
	// float with a short decimal form.
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

// runProbe determines whether a member whose link was lost has terminated, in which case its
// address refuses connections. After a network failure no connection is refused, and the
// member stays on the roster until MemberTimeout has passed.
func (l *Leader) runProbe(ctx context.Context, m registrar.Member, since timekeeper.Millis) {
	for range probeAttempts {
		if l.refusesConnection(ctx, m) {
			l.members.markTerminated(m.Incarnation, since)
			l.wakeDuties()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// refusesConnection reports whether a connection to the member is refused.
func (l *Leader) refusesConnection(ctx context.Context, m registrar.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := l.Links.DialAddress(ctx, m.Links)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sameMembers reports whether two lists hold the same members in the same state.
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

// staleFence reports whether a fence is older than the one an object was written
// under.
func staleFence(own, written leaser.Fence) bool {
	return own < written
}
