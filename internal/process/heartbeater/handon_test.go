package heartbeater_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// addRegion adds members of one region in two failure domains, all of which hand on.
func addRegion(n *network, size int) {
	for i := range size {
		m := n.add(fmt.Sprintf("m%02d", i), []registrar.Site{"east/a", "east/b"}[i%2], "m00", "m01", "m02")
		m.self.HandsOn = true
	}
}

// bytesBetweenDomains returns the bytes that changes and homes take between the failure domains of
// a region of some size.
func bytesBetweenDomains(size int, direct bool) (bytes int64) {
	n := newNetwork()
	addRegion(n, size)
	n.rounds(12)
	for _, m := range n.members {
		m.NoHandOn = direct
		m.OnTraffic = func(t heartbeater.Traffic) {
			if t.Distance == registrar.SameRegion {
				bytes += t.Sent
			}
		}
	}
	leader := n.members[n.leaders("east")[0]]
	for i := range 10 {
		leader.Relay(heartbeater.Changes{Kind: "k", From: uint64(i), To: uint64(i + 1), Body: []byte("changes of an upstream")})
		n.members["m05"].Announce([]assigner.Assignment{{Key: 1, Upstream: 2, Version: uint32(i)}})
	}
	return bytes
}

// TestBytesBetweenDomainsDoNotGrow guards against a cost of each change and home between failure
// domains that grows with the number of VMs.
func TestBytesBetweenDomainsDoNotGrow(t *testing.T) {
	is := is.New(t)
	few, many := bytesBetweenDomains(8, false), bytesBetweenDomains(80, false)
	t.Logf("8 members %d bytes, 80 members %d; sent to each %d", few, many, bytesBetweenDomains(80, true))
	is.Equal(few, many)
	is.True(many*20 < bytesBetweenDomains(80, true))
}

// TestHomesReachEachMemberOnce checks that no member gets a home twice or not at all.
func TestHomesReachEachMemberOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addRegion(n, 20)
	n.rounds(12)
	got := map[string]int{}
	for name, m := range n.members {
		m.OnHomes = func([]assigner.Assignment) { got[name]++ }
	}
	n.members["m05"].Announce([]assigner.Assignment{{Key: 1, Upstream: 2, Version: 3}})
	is.Equal(len(got), 19)
	for _, times := range got {
		is.Equal(times, 1)
	}
}

// trackChanges makes members follow a kind of object by the leader's watermark: a member that is
// behind asks for the changes. It returns the revision that each member knows.
func trackChanges(n *network, latest *uint64) map[string]uint64 {
	known := map[string]uint64{}
	for name, m := range n.members {
		m.Watermarks = func() map[string]uint64 { return map[string]uint64{"k": *latest} }
		m.OnChanges = func(c heartbeater.Changes) { known[name] = max(known[name], c.To) }
		m.OnWatermark = func(kind string, revision uint64) {
			if known[name] < revision {
				m.Ask(kind, known[name])
			}
		}
		m.ChangesAfter = func(kind string, from uint64) []heartbeater.Changes {
			return []heartbeater.Changes{{Kind: kind, From: from, To: *latest, Body: []byte("changes")}}
		}
	}
	return known
}

// TestChangesOutliveTheVMThatHandsOn has the leader relay a change into a domain whose VM that
// hands on has died, is cut, or runs a release that does not. All others know the change within
// 2 s, the time that remains of the users' bound of 3 s after the change was read.
func TestChangesOutliveTheVMThatHandsOn(t *testing.T) {
	const bound = 4 // rounds of 0.5 s
	tests := []struct {
		name   string
		change func(n *network, delegate *member)
	}{
		{"works", func(*network, *member) {}},
		{"has just died", func(_ *network, d *member) { d.dead = true }},
		{"sends nothing", func(_ *network, d *member) { d.Send = func(string, []byte) {} }},
		{"gets nothing", func(_ *network, d *member) { d.deaf = true }},
		{"restarts in an older release", func(_ *network, d *member) { d.self.HandsOn, d.self.Incarnation = false, 9 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			addRegion(n, 20)
			n.rounds(12)
			leader := n.members[n.leaders("east")[0]]
			delegate := findDelegate(n, leader)
			latest := uint64(0)
			known := trackChanges(n, &latest)
			tt.change(n, delegate)
			latest = 7
			leader.Relay(heartbeater.Changes{Kind: "k", From: 0, To: 7, Body: []byte("changes")})
			n.rounds(bound)
			for name, m := range n.members {
				if m != leader && m != delegate {
					is.Equal(known[name], latest)
				}
			}
		})
	}
}

// findDelegate returns the member that hands on the leader's datagrams in the other domain.
func findDelegate(n *network, leader *member) (delegate *member) {
	send := leader.Send
	defer func() { leader.Send = send }()
	leader.Send = func(to string, _ []byte) {
		if m := n.members[to]; m.self.Site != leader.self.Site {
			delegate = m
		}
	}
	leader.Relay(heartbeater.Changes{Kind: "other"})
	return delegate
}
