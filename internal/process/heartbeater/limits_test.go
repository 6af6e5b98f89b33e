package heartbeater_test

import (
	"testing"

	"github.com/matryer/is"
)

// Members notice an outage of the store up to a second apart and meanwhile disagree on the leader.
// If the choice of a limit allocator depended on who reaches the store, there might be none, and
// requests would be refused because the use of their organisations' limits is unknown.
func TestLimitAllocatorsDoNotDependOnStore(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 24)
	n.rounds(12)
	before := n.allocators()
	is.Equal(len(before), 3)
	for i, name := range n.names() {
		n.members[name].self.Reaching = i%2 == 0
		n.rounds(1)
		is.Equal(n.allocators(), before)
	}
}

// TestFleetView cuts off a member. The others still count it as known but no longer as
// reachable, and the member itself reports that it is isolated.
func TestFleetView(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 24)
	n.rounds(12)
	first, last := n.members["m00"], n.members["m20"]
	c := first.FleetView()
	is.Equal(c.Known, 24)
	is.Equal(c.Reachable, 12) // east/a and east/b
	is.Equal(len(c.Others), 2)
	last.dead = true
	n.rounds(5)
	c = first.FleetView()
	is.Equal(c.Known, 24)
	is.Equal(c.Reachable, 11)
	is.True(!c.Isolated)
	is.True(last.FleetView().Isolated)
}

// TestCutMembersStayKnown guards against members that cut each other's share of the limits out of
// their own view: regions lose each other for minutes.
func TestCutMembersStayKnown(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 24)
	n.rounds(12)
	for _, m := range n.members {
		m.dead = m.self.Site.Region() != "east"
	}
	n.rounds(240) // two minutes
	is.Equal(n.members["m00"].FleetView().Known, 24)
}

// allocators returns the members that consider themselves limit allocators.
func (n *network) allocators() (names []string) {
	for _, name := range n.names() {
		if c := n.members[name].FleetView(); c.IsAllocator && !c.Isolated {
			names = append(names, name)
		}
	}
	return names
}
