package heartbeater_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// learnRounds is the number of heartbeats within which all members must know of an announcement
// that was lost: to the leader, to the leaders of other regions, and to their members.
const learnRounds = 3

func upstreamsNamed(count int) (list []cataloger.Upstream) {
	for i := range count {
		list = append(list, cataloger.Upstream{ID: cataloger.UpstreamID(fmt.Sprint("i-", i)), Address: fmt.Sprint("10.0.0.1:", i+1), Service: "ledger", Site: "r0/d"})
	}
	return list
}

// addWithCatalog adds a member that lists upstreams, in one of three regions.
func (n *network) addWithCatalog(index int, listed []cataloger.Upstream) *member {
	m := n.add(fmt.Sprintf("m%02d", index), registrar.Site(fmt.Sprint("r", index%3, "/d")), "m00", "m01", "m02")
	m.catalog = &cataloger.Catalog{}
	m.catalog.Replace(listed)
	m.Catalog = m.catalog.Current
	m.OnLeaving = func(l []cataloger.Departure) { m.catalog.MarkLeaving(l...) }
	return m
}

// leave has a response at the member announce that an upstream leaves.
func (m *member) leave(u cataloger.Upstream) {
	m.AnnounceLeaving(m.catalog.MarkLeaving(u.Departure()))
}

// unaware returns the living members at which any of the upstreams is usable.
func (n *network) unaware(leaving ...cataloger.Upstream) (names []string) {
	for _, name := range n.names() {
		m := n.members[name]
		for _, u := range leaving {
			if !m.dead && m.catalog.Current().Usable(u.Incarnation()) != nil {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

// TestLostAnnouncementIsRepeated guards against members that go on using an upstream since the one
// datagram with its departure was lost.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	for _, size := range []int{3, 9, 60} {
		for announcer := range 4 {
			t.Run(fmt.Sprint(size, " members, announced by ", announcer), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				listed := upstreamsNamed(4)
				for i := range size {
					n.addWithCatalog(i, listed)
				}
				n.rounds(10)
				n.loss = 1
				n.members[fmt.Sprintf("m%02d", min(announcer, size-1))].leave(listed[0])
				n.loss = 0
				is.Equal(len(n.unaware(listed[0])), size-1)
				n.rounds(learnRounds)
				is.Equal(n.unaware(listed[0]), nil)
				is.Equal(len(n.unaware(listed[1])), size) // the others stay in use
			})
		}
	}
}

// TestMembersLearnOfDeparturesThatWereAnnouncedWithoutThem guards against members that go on using
// an upstream since the member that announced its departure did not know them yet, or since they
// started or returned after that.
func TestMembersLearnOfDeparturesThatWereAnnouncedWithoutThem(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	listed := upstreamsNamed(4)
	for i := range 9 {
		n.addWithCatalog(i, listed)
	}
	n.members["m04"].leave(listed[0]) // knows nobody
	n.rounds(10)
	is.Equal(n.unaware(listed[0]), nil)

	n.members["m05"].dead = true
	n.members["m08"].leave(listed[1])
	n.rounds(10)
	n.members["m05"].dead = false
	n.addWithCatalog(9, listed)
	late := n.addWithCatalog(10, nil)
	n.rounds(10)
	is.Equal(n.unaware(listed[0], listed[1]), nil)
	late.catalog.Replace(listed)
	n.rounds(learnRounds)
	is.Equal(n.unaware(listed[0], listed[1]), nil)
}

// TestDepartureTrafficIsBounded guards against departures that are sent with every heartbeat: to
// members that know them, to a version without the digest, to a member that lists nothing, or
// once the store reports them. Many departures at once must not make datagrams too large.
func TestDepartureTrafficIsBounded(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	listed := upstreamsNamed(1000)
	for i := range 9 {
		n.addWithCatalog(i, listed)
	}
	n.members["m03"].Catalog = nil // a version without the digest
	n.addWithCatalog(9, nil)
	n.rounds(10)
	sent, largest := 0, 0
	for _, m := range n.members {
		m.OnTraffic = func(c heartbeater.Traffic) {
			if c.Purpose == heartbeater.LeavingPurpose && c.Sent > 0 {
				sent, largest = sent+1, max(largest, int(c.Sent))
			}
		}
	}
	n.loss = 1
	for _, u := range listed[:500] {
		n.members["m04"].leave(u)
	}
	n.loss, sent, largest = 0, 0, 0
	rounds := 0
	for ; rounds < 60 && len(n.unaware(listed[:500]...)) > 1; rounds++ {
		n.rounds(1)
	}
	is.Equal(n.unaware(listed[:500]...), []string{"m03"})
	is.True(largest > 0 && largest < 32<<10)
	t.Log("500 lost announcements known after", rounds, "heartbeats,", sent, "datagrams, largest", largest, "bytes")
	is.True(rounds <= 6*learnRounds)
	n.rounds(1)
	sent, largest = 0, 0
	n.rounds(10)
	is.Equal(sent, 0)

	n.members["m03"].leave(listed[600]) // announcements of the other version still count
	is.Equal(n.unaware(listed[600]), nil)
	for _, m := range n.members {
		for _, u := range listed[:601] {
			u.Leaving = true
			m.catalog.Put(u)
		}
	}
	n.members["m05"].catalog.Put(listed[0]) // an older report
	sent, largest = 0, 0
	n.rounds(1)
	is.True(sent <= 40 && largest < 100)
}
