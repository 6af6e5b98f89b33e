package heartbeater_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
)

// TestAskWhileHeartbeatsArrive guards against a data race: a question to the leader read its address
// while a heartbeat of the leader replaced it.
func TestAskWhileHeartbeatsArrive(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 8)
	n.rounds(12)
	leader := n.leaders("east")[0]
	var m *member
	for _, name := range n.names() {
		if c := n.members[name]; c.self.Site.Region() == "east" && name != leader {
			m = c
		}
	}
	self := n.members[leader].self
	d, err := proto.Marshal(&heartbeater.Datagram{Beat: &heartbeater.Beat{Leading: true, From: &heartbeater.Row{
		Name: leader, Incarnation: self.Incarnation, Site: string(self.Site), Beats: leader, Ready: true, Reaching: true,
	}}})
	is.NoErr(err)
	m.Send = func(string, []byte) {}
	var both sync.WaitGroup
	both.Go(func() {
		for range 200 {
			m.Receive(leader, d)
		}
	})
	both.Go(func() {
		for range 200 {
			m.Ask("k", 1)
		}
	})
	both.Wait()
}
