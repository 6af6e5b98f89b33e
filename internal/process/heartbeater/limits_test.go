package heartbeater_test

import (
	"testing"

	"github.com/matryer/is"
)

// With the store out, some VMs noticed it a second before others, took each other for the lead
// by turns, and none of them counted for limits: on a record, 1,900 requests in two seconds
// were refused since the use of their organisations' limits was not known. Who counts does not
// hang on who reaches the store.
func TestWhoCountsWithoutStore(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	fleet(n, 24)
	n.rounds(12)
	before := n.counting()
	is.Equal(len(before), 3)
	for i, name := range n.names() {
		n.members[name].self.Reaching = i%2 == 0
		n.rounds(1)
		is.Equal(n.counting(), before)
	}
}

// TestCensus has a member be cut off: the others count with its part missing, and it knows
// that it is alone.
func TestCensus(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	fleet(n, 24)
	n.rounds(12)
	first, last := n.members["m00"], n.members["m20"]
	c := first.Census()
	is.Equal(c.Known, 24)
	is.Equal(c.Near, 12) // east/a and east/b
	is.Equal(len(c.Others), 2)
	last.dead = true
	n.rounds(5)
	c = first.Census()
	is.Equal(c.Known, 24)
	is.Equal(c.Near, 11)
	is.True(!c.Alone)
	is.True(last.Census().Alone)
}

// counting returns the members that take themselves for those who count.
func (n *network) counting() (names []string) {
	for _, name := range n.names() {
		if c := n.members[name].Census(); c.Counts && !c.Alone {
			names = append(names, name)
		}
	}
	return names
}
