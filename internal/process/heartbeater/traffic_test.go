package heartbeater_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// trafficKey is the key by which the test counts bytes.
type trafficKey struct {
	purpose  heartbeater.Purpose
	distance registrar.Distance
}

// TestTrafficIsCountedByPurposeAndDistance has members in two failure domains of a
// region and in another region. The bytes sent and received must agree by purpose and
// distance.
func TestTrafficIsCountedByPurposeAndDistance(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	sent, received := map[trafficKey]int64{}, map[trafficKey]int64{}
	for i, site := range []registrar.Site{"east/a", "east/a", "east/b", "west/a"} {
		n.add(fmt.Sprintf("m%02d", i), site, "m00", "m01", "m02", "m03").OnTraffic = func(t heartbeater.Traffic) {
			sent[trafficKey{t.Purpose, t.Distance}] += t.Sent
			received[trafficKey{t.Purpose, t.Distance}] += t.Received
		}
	}
	n.rounds(6)
	clear(sent) // distances are unknown until the members know each other
	clear(received)
	n.rounds(2)
	leader := n.members[n.leaders("east")[0]]
	leader.Relay(heartbeater.Changes{Kind: "k", From: 1, To: 2, Body: []byte("changes")})
	leader.Announce([]assigner.Assignment{{Key: 1, Upstream: 2, Version: 3}})
	for _, m := range n.members {
		if m.self.Site.Region() == "east" && m != leader {
			is.True(m.Ask("k", 7))
		}
	}
	is.Equal(sent, received)
	for _, p := range []heartbeater.Purpose{heartbeater.BeatPurpose, heartbeater.RelayPurpose, heartbeater.HomesPurpose, heartbeater.AskPurpose} {
		near := sent[trafficKey{p, registrar.SameDomain}] + sent[trafficKey{p, registrar.SameRegion}]
		is.True(near > 0)
		is.Equal(sent[trafficKey{p, registrar.OtherRegion}] > 0, p == heartbeater.BeatPurpose)
		is.Equal(sent[trafficKey{p, registrar.UnknownDistance}], int64(0))
	}
	leader.Receive("nobody", []byte("\xff\xff\xff"))
	is.Equal(received[trafficKey{heartbeater.UnknownPurpose, registrar.UnknownDistance}], int64(3))
}
