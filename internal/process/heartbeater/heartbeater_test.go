package heartbeater_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// round is the time between heartbeats in the tests, in ms.
const round = 500

type (
	// network delivers datagrams without delay, except to and from dead members. It
	// drops the fraction loss of them.
	network struct {
		now     timekeeper.Millis
		members map[string]*member
		loss    float64
		random  *rand.Rand
	}

	member struct {
		*heartbeater.Heartbeater
		self heartbeater.Member
		dead bool
		// deaf means that the member gets no datagrams.
		deaf    bool
		relayed []heartbeater.Changes
		found   []quarantiner.Suspect
		catalog *cataloger.Catalog
	}
)

func newNetwork() *network {
	return &network{members: map[string]*member{}, random: rand.New(rand.NewPCG(1, 2))}
}

// add adds a member with the given seeds.
func (n *network) add(name string, site registrar.Site, seeds ...string) *member {
	m := &member{self: heartbeater.Member{Name: name, Incarnation: uint64(len(n.members) + 1), Site: site, Front: "front-" + name, Beats: name, Ready: true, Reaching: true}}
	m.Heartbeater = &heartbeater.Heartbeater{
		Self:      func() heartbeater.Member { return m.self },
		Seeds:     seeds,
		Clock:     timekeeper.Clock{Monotonic: func() timekeeper.Millis { return n.now }},
		OnChanges: func(c heartbeater.Changes) { m.relayed = append(m.relayed, c) },
		Send: func(to string, d []byte) {
			r := n.members[to]
			if m.dead || r == nil || r.dead || r.deaf || n.random.Float64() < n.loss {
				return
			}
			r.Receive(m.self.Beats, d)
		},
	}
	n.members[name] = m
	return m
}

func (n *network) rounds(k int) {
	for range k {
		n.now += round
		for _, name := range n.names() {
			if m := n.members[name]; !m.dead {
				m.SendHeartbeats(false)
			}
		}
	}
}

func (n *network) names() (names []string) {
	for i := range len(n.members) {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	return names
}

// leaders returns the members that consider themselves the leader of a region.
func (n *network) leaders(region string) (names []string) {
	for _, name := range n.names() {
		m := n.members[name]
		if !m.dead && m.self.Site.Region() == region && m.IsLeader() {
			names = append(names, name)
		}
	}
	return names
}

var sites = []registrar.Site{"east/a", "west/a", "north/a", "east/b"}

// addFleet adds members that know only three seeds.
func addFleet(n *network, size int) {
	for i := range size {
		n.add(fmt.Sprintf("m%02d", i), sites[i%len(sites)], "m00", "m01", "m02")
	}
}

func TestEachRegionHasOneLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	n.loss = 0.02
	addFleet(n, 40)
	n.rounds(12)
	for _, r := range []string{"east", "west", "north"} {
		is.Equal(len(n.leaders(r)), 1)
	}
	for _, m := range n.members {
		is.Equal(len(m.Alive()), 40)
		is.True(m.IsLeader() || m.FollowsLeader())
	}
}

func TestDeadMemberIsNotListedAsAlive(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 24)
	n.rounds(12)
	leader := n.leaders("east")[0]
	n.members[leader].dead = true
	n.members["m07"].dead = true
	// A lookup may name a dead member for 7 s; these rounds take 4.5 s.
	n.rounds(9)
	is.Equal(len(n.leaders("east")), 1)
	for _, m := range n.members {
		if m.dead {
			continue
		}
		for _, a := range m.Alive() {
			is.True(a.Name != leader && a.Name != "m07")
		}
	}
}

func TestLeaderWithoutStoreIsReplaced(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 12)
	n.rounds(12)
	old := n.leaders("east")[0]
	n.members[old].self.Reaching = false
	n.rounds(4)
	is.Equal(len(n.leaders("east")), 1)
	is.True(n.leaders("east")[0] != old)
}

// Members must not rely on a leader that the store no longer responds to, even before the
// leader has noticed.
func TestMembersDoNotRelyOnLeaderWithStaleStore(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 12)
	n.rounds(12)
	leader := n.members[n.leaders("east")[0]]
	stale := timekeeper.Millis(0)
	leader.StoreAge = func() timekeeper.Millis { return stale }
	followers := func() (count int) {
		for _, m := range n.members {
			if m.self.Site.Region() == "east" && m.FollowsLeader() {
				count++
			}
		}
		return count
	}
	n.rounds(1)
	is.Equal(followers(), 5)
	stale = 1600
	n.rounds(1)
	is.Equal(followers(), 0)
}

func TestRelayReachesMembersOfItsRegionOnly(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 12)
	n.rounds(12)
	leader := n.leaders("east")[0]
	n.members[leader].Relay(heartbeater.Changes{Kind: "k", From: 3, To: 5, Body: []byte("x")})
	n.members[leader].Relay(heartbeater.Changes{Kind: "k", From: 5, To: 6, Body: make([]byte, 100<<10)})
	for _, m := range n.members {
		if m.self.Site.Region() != "east" || m.self.Name == leader {
			is.Equal(len(m.relayed), 0)
			continue
		}
		is.Equal(len(m.relayed), 2)
		is.Equal(m.relayed[0], heartbeater.Changes{Kind: "k", From: 3, To: 5, Body: []byte("x")})
		is.True(m.relayed[1].Omitted) // longer than MaxRelayBytes
	}
}

// A member that missed changes asks the leader for them before it asks the store.
func TestMissedChangesAreRequestedFromLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 12)
	n.rounds(12)
	leader := n.members[n.leaders("east")[0]]
	leader.ChangesAfter = func(kind string, from uint64) []heartbeater.Changes {
		return []heartbeater.Changes{{Kind: kind, From: from, To: from + 1}, {Kind: kind, From: from + 1, To: from + 4}}
	}
	is.True(!leader.Ask("k", 3)) // the leader itself has no leader to ask
	for _, m := range n.members {
		if m.self.Site.Region() == "east" && m != leader {
			is.True(m.Ask("k", 7))
			is.Equal(m.relayed, []heartbeater.Changes{{Kind: "k", From: 7, To: 8}, {Kind: "k", From: 8, To: 11}})
		}
	}
}

func TestMalformedDatagramsAreDropped(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	m := n.add("m00", "east/a")
	is.True(!m.Receive("m01", []byte("\xff\xff\xff")))
	is.True(m.Receive("m01", nil))
	is.Equal(len(m.Alive()), 1)
}

func FuzzReceive(f *testing.F) {
	n := newNetwork()
	m := n.add("m00", "east/a")
	f.Add([]byte("\x0a\x05\x0a\x03\x0a\x01a"))
	f.Fuzz(func(_ *testing.T, d []byte) { m.Receive("m01", d) })
}
