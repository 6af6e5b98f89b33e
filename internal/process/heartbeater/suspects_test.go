package heartbeater_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

var crashing = quarantiner.Content{Target: "/deadly"}.Fingerprint()

// addQuarantine gives a member a quarantine whose changes are collected for announce.
func (n *network) addQuarantine(m *member) *quarantiner.Quarantiner {
	m.Quarantine = &quarantiner.Quarantiner{
		Clock:    timekeeper.Clock{Monotonic: func() timekeeper.Millis { return n.now }},
		OnChange: func(c quarantiner.Change) { m.found = append(m.found, c.Now) },
	}
	return m.Quarantine
}

// announce has the members announce the suspects they found.
func (n *network) announce() {
	for _, name := range n.names() {
		m := n.members[name]
		if found := m.found; len(found) > 0 {
			m.found = nil
			m.AnnounceSuspects(found)
		}
	}
}

// reportCrash reports a crash caused by the crashing request at a member, unless the request is
// barred there.
func (m *member) reportCrash() {
	if s := m.Quarantine.Check(crashing, quarantiner.Observation{}); !s.Refused {
		m.Quarantine.RecordCrash(s)
	}
}

func (m *member) barsRequest() bool {
	return m.Quarantine.Check(crashing, quarantiner.Observation{}).Refused
}

// TestSuspectsReachAllMembers has one request crash an upstream at each of three members in
// different regions. Without loss, all members must bar it before the next heartbeat; with one
// datagram in three lost, within the 4 s that the platform relies on.
func TestSuspectsReachAllMembers(t *testing.T) {
	for _, size := range []int{9, 60, 295} {
		for _, loss := range []float64{0, 0.33} {
			t.Run(fmt.Sprint(size, " members, loss ", loss), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				for i := range size {
					name := fmt.Sprintf("m%02d", i)
					n.addQuarantine(n.add(name, registrar.Site(fmt.Sprint("r", i%3, "/d", i%2)), "m00", "m01", "m02"))
				}
				n.rounds(10)
				n.loss = loss
				sent, bytes := 0, 0
				for _, m := range n.members {
					m.OnTraffic = func(c heartbeater.Traffic) {
						if c.Purpose == heartbeater.SuspectPurpose && c.Sent > 0 {
							sent, bytes = sent+1, bytes+int(c.Sent)
						}
					}
				}
				for i := range 3 {
					n.members[fmt.Sprintf("m%02d", i)].reportCrash()
					n.announce()
				}
				announced := sent
				late := 0
				for ; !n.barredByAll(); late++ {
					is.True(late*round < 4000)
					n.members["m00"].reportCrash() // crashes another upstream if this member missed an announcement
					n.announce()
					n.rounds(1)
				}
				is.True(loss > 0 || late == 0)
				t.Log(size, "members:", announced, "datagrams for three crashes,", bytes, "bytes in all, all know after", late, "heartbeats")
			})
		}
	}
}

func (n *network) barredByAll() bool {
	for _, m := range n.members {
		if !m.dead && !m.barsRequest() {
			return false
		}
	}
	return true
}

// TestSuspectsReachNewAndReconnectedMembers starts a member, and reconnects one with an
// outdated view, after one request was quarantined and another cleared. Both must catch up.
func TestSuspectsReachNewAndReconnectedMembers(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	other := quarantiner.Content{Target: "/other"}.Fingerprint()
	for i := range 6 {
		n.addQuarantine(n.add(fmt.Sprintf("m%02d", i), registrar.Site(fmt.Sprint("r", i%2, "/d")), "m00", "m01"))
	}
	n.rounds(10)
	suspect := n.members["m02"].Quarantine
	suspect.RecordCrash(suspect.Check(other, quarantiner.Observation{}))
	n.announce()
	n.members["m05"].dead = true
	for range 3 {
		n.members["m01"].reportCrash()
		n.announce()
	}
	n.members["m00"].Quarantine.RecordAnswer(other)
	n.announce()
	n.rounds(4)
	n.members["m05"].dead = false
	n.addQuarantine(n.add("m06", "r1/d", "m00"))
	n.rounds(4)
	is.True(n.barredByAll())
	for _, name := range n.names() {
		is.Equal(n.members[name].Quarantine.Digest(), n.members["m00"].Quarantine.Digest())
		is.True(!slices.ContainsFunc(n.members[name].Quarantine.Suspects(), func(s quarantiner.Suspect) bool { return s.Fingerprint == other }))
	}
}
