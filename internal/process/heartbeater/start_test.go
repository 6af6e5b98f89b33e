package heartbeater_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// nearDelay and farDelay are the one-way delays within a region and between two, in ms.
	nearDelay = 1
	farDelay  = 35
	// startSpread is the time within which all members start, in ms.
	startSpread = 300
	// queueMillis is the longest time that a datagram may wait at its sender's link. It is
	// dropped if it would wait longer.
	queueMillis = 100
)

type (
	// event is a function to run at a point in simulated time. order keeps events with the
	// same time in the order in which they were added.
	event struct {
		at    timekeeper.Millis
		order int
		do    func()
	}

	events []event

	// timedNetwork delivers datagrams after the transmission time at the sender's link, where
	// they queue, and the delay between the two regions.
	timedNetwork struct {
		now     timekeeper.Millis
		queue   events
		order   int
		members map[string]*timedMember
		names   []string
		random  *rand.Rand
		loss    float64
	}

	timedMember struct {
		*heartbeater.Heartbeater
		self    heartbeater.Member
		startAt timekeeper.Millis
		started bool
		// bytesPerMilli is the bandwidth of the link, freeAt the time at which it is idle
		// again, in µs.
		bytesPerMilli int
		freeAt        int64
		dead          bool
		// storeDelay is the response time of the store, in ms.
		storeDelay timekeeper.Millis
	}
)

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (n *timedNetwork) at(t timekeeper.Millis, do func()) {
	n.order++
	heap.Push(&n.queue, event{t, n.order, do})
}

func (n *timedNetwork) runUntil(t timekeeper.Millis) {
	for len(n.queue) > 0 && n.queue[0].at <= t {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
	}
	n.now = t
}

// newTimedNetwork builds a fleet of three regions in which every eleventh member has a strong
// VM and a fast link. The store is in the first region.
func newTimedNetwork(size int, seed uint64) *timedNetwork {
	n := &timedNetwork{members: map[string]*timedMember{}, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range size {
		region := []string{"east", "west", "north"}[i%3]
		site := registrar.Site(fmt.Sprintf("%s/%s-%d", region, region, i/3%3))
		name := fmt.Sprintf("v%03d", n.random.IntN(1000)+1000*i)
		m := &timedMember{bytesPerMilli: 20 * 125, storeDelay: 10, startAt: timekeeper.Millis(n.random.IntN(startSpread))}
		m.self = heartbeater.Member{
			Name: name, Incarnation: n.random.Uint64(), Site: site, Ready: false, Strength: 80,
			Front: "10.0.0.1:8161", Beats: name,
		}
		if i%11 == 0 {
			m.self.Strength, m.bytesPerMilli = 800, 200*125
		}
		if region != "east" {
			m.storeDelay += 2 * farDelay
		}
		n.add(m)
	}
	return n
}

func (n *timedNetwork) add(m *timedMember) {
	m.Heartbeater = &heartbeater.Heartbeater{
		Self:  func() heartbeater.Member { return m.self },
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return n.now }},
		Send:  func(to string, d []byte) { n.send(m, to, d) },
	}
	n.members[m.self.Name] = m
	n.names = append(n.names, m.self.Name)
}

func (n *timedNetwork) send(m *timedMember, to string, d []byte) {
	r := n.members[to]
	begin := max(m.freeAt, int64(n.now)*1000)
	full := begin-int64(n.now)*1000 > queueMillis*1000
	if full || r == nil || n.random.Float64() < n.loss {
		return
	}
	m.freeAt = begin + int64(len(d)*1000/m.bytesPerMilli)
	delay := timekeeper.Millis(nearDelay)
	if r.self.Site.Region() != m.self.Site.Region() {
		delay = farDelay
	}
	n.at(timekeeper.Millis(m.freeAt/1000)+delay, func() {
		if r.started && !r.dead {
			r.Receive(m.self.Beats, d)
		}
	})
}

// start schedules for each member its start, its registration in the store and its reading of
// the members registered there, as a list that is staleBy old.
func (n *timedNetwork) start(staleBy timekeeper.Millis) {
	registered := map[string]timekeeper.Millis{}
	seeds := n.random.Perm(len(n.names))[:3]
	for _, name := range n.names {
		m := n.members[name]
		for _, s := range seeds {
			m.Seeds = append(m.Seeds, n.names[s])
		}
		n.at(m.startAt, func() {
			m.started = true
			n.beat(m)
		})
		n.at(m.startAt+m.storeDelay, func() {
			registered[name] = n.now
			m.self.Reaching = true
		})
		n.at(m.startAt+2*m.storeDelay, func() {
			for _, other := range n.names {
				at, known := registered[other]
				if known && at <= n.now-staleBy {
					o := n.members[other].self
					m.AddMember(heartbeater.Member{Name: o.Name, Front: o.Front, Beats: o.Beats, Site: o.Site})
				}
			}
		})
		n.at(m.startAt+400+timekeeper.Millis(n.random.IntN(1200)), func() { m.self.Ready = true })
	}
}

func (n *timedNetwork) beat(m *timedMember) {
	if m.dead {
		return
	}
	m.SendHeartbeats(false)
	n.at(n.now+round, func() { n.beat(m) })
}

// withoutLeader returns the number of members of a region without a leader to relay changes to
// them, each of which watches the store itself. Leaders after the first count too.
func (n *timedNetwork) withoutLeader(region string) (withoutLeader int) {
	leaders := 0
	for _, m := range n.members {
		switch {
		case m.dead || m.self.Site.Region() != region:
		case m.IsLeader():
			leaders++
		case !m.FollowsLeader():
			withoutLeader++
		}
	}
	if leaders > 1 {
		withoutLeader += leaders - 1
	}
	return withoutLeader
}

// maxWithoutLeader returns the highest number of members without a leader in any region,
// sampled five times a round until a time.
func (n *timedNetwork) maxWithoutLeader(until timekeeper.Millis) (most int) {
	for n.now < until {
		n.runUntil(n.now + round/5)
		for _, r := range []string{"east", "west", "north"} {
			most = max(most, n.withoutLeader(r))
		}
	}
	return most
}

// While a fleet starts, members may follow a leader that learns of a better one and steps down.
// They must learn of the better leader before any of them considers itself the leader.
func TestFleetStartGivesEachRegionOneLeader(t *testing.T) {
	runs := map[int]uint64{9: 10, 100: 4, 295: 1}
	for size, seeds := range runs {
		for _, staleBy := range []timekeeper.Millis{0, 1000} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d members, list %v old, seed %d", size, staleBy, seed), func(t *testing.T) {
					is := is.New(t)
					n := newTimedNetwork(size, seed)
					n.start(staleBy)
					n.runUntil(startSpread + 1500)
					is.Equal(n.maxWithoutLeader(8000), 0)
				})
			}
		}
	}
}

// A member that misses two heartbeats of the leader in a row may be without a leader until the
// next one.
func TestLostDatagramsLeaveFewMembersWithoutLeader(t *testing.T) {
	is := is.New(t)
	n := newTimedNetwork(100, 1)
	n.loss = 0.01
	n.start(0)
	n.runUntil(startSpread + 3000)
	is.True(n.maxWithoutLeader(20000) <= 2)
}

// When a leader dies, the next member in the order takes over for the whole region at once.
func TestLeaderDeathLeavesNoMemberWithoutLeader(t *testing.T) {
	is := is.New(t)
	n := newTimedNetwork(100, 1)
	n.start(0)
	n.runUntil(5000)
	for _, name := range n.names {
		m := n.members[name]
		m.dead = m.self.Site.Region() == "west" && m.IsLeader()
	}
	// The leader is silent for three heartbeats before the next one takes over, and two more
	// pass until all members have heard from the new leader.
	n.runUntil(7700)
	is.Equal(n.maxWithoutLeader(15000), 0)
}
