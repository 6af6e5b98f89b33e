package heartbeater_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
)

// tableFleet is the size of the fleets of these tests, in four failure domains.
const tableFleet = 80

// countBeats makes the members count the bytes of the heartbeats that they send.
func countBeats(n *network) *int64 {
	total := new(int64)
	for _, m := range n.members {
		m.OnTraffic = func(t heartbeater.Traffic) {
			if t.Purpose == heartbeater.BeatPurpose {
				*total += t.Sent
			}
		}
	}
	return total
}

// bytesOfChange returns the bytes that the heartbeats of a fleet take more than in calm rounds
// after ten members of one region changed, one in each round.
func bytesOfChange(whole bool) int64 {
	n := newNetwork()
	addFleet(n, tableFleet)
	for _, m := range n.members {
		m.WholeTables = whole
	}
	n.rounds(12)
	total := countBeats(n)
	n.rounds(20)
	calm := *total
	*total = 0
	for i := range 10 {
		n.members[n.names()[4*i]].self.Leaving = true
		n.rounds(1)
	}
	n.rounds(10)
	return *total - calm
}

// TestChangeOfMemberSendsNoWholeTables guards against a cost of each change that grows with the
// square of the fleet: the whole table for each member.
func TestChangeOfMemberSendsNoWholeTables(t *testing.T) {
	is := is.New(t)
	whole, changes := bytesOfChange(true), bytesOfChange(false)
	t.Logf("ten changes in a fleet of %d: %d bytes with whole tables, %d with changes", tableFleet, whole, changes)
	is.True(changes*5 < whole)
}

// tablesAgree reports whether all living members consider the same members alive and know their
// states.
func tablesAgree(n *network) bool {
	for _, m := range n.members {
		if m.dead {
			continue
		}
		alive := map[string]heartbeater.Member{}
		for _, a := range m.Alive() {
			alive[a.Name] = a
		}
		for name, other := range n.members {
			a, ok := alive[name]
			if ok == other.dead || ok && (a.Leaving != other.self.Leaving || a.Incarnation != other.self.Incarnation) {
				return false
			}
		}
	}
	return true
}

// roundsUntilAgreed returns after how many rounds the tables of all members agree.
func roundsUntilAgreed(n *network) int {
	for k := range 40 {
		if tablesAgree(n) {
			return k
		}
		n.rounds(1)
	}
	return -1
}

// TestTablesAgreeAfterChanges plays changes of members, with lost datagrams, and checks that the
// tables agree again within the time of a lookup that may name a dead member.
func TestTablesAgreeAfterChanges(t *testing.T) {
	const bound = 14 // rounds of 0.5 s
	tests := []struct {
		name   string
		loss   float64
		change func(n *network)
	}{
		{"one leaves", 0, func(n *network) { n.members["m05"].self.Leaving = true }},
		{"one dies", 0, func(n *network) { n.members["m05"].dead = true }},
		{"one restarts", 0.05, func(n *network) { n.members["m05"].self.Incarnation = 9 }},
		{"leader dies while another leaves", 0, func(n *network) {
			n.members["m09"].self.Leaving = true
			n.members[n.leaders("west")[0]].dead = true
		}},
		{"many die", 0, func(n *network) {
			for i := 3; i < tableFleet; i += 3 {
				n.members[n.names()[i]].dead = true
			}
		}},
		{"leader with whole tables", 0.05, func(n *network) {
			n.members[n.leaders("west")[0]].WholeTables = true
			n.members["m05"].self.Leaving = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			addFleet(n, tableFleet)
			n.rounds(12)
			is.Equal(roundsUntilAgreed(n), 0)
			n.loss = tt.loss
			tt.change(n)
			k := roundsUntilAgreed(n)
			t.Logf("%d rounds", k)
			is.True(k >= 0 && k <= bound)
		})
	}
}
