package fronter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/fronter"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// TestWarmupRateOfOneSender checks the warm-up rate of a sender: three senders with a burst of one
// request each stay within the bound, and use the upstream's rate where the bound is wide.
func TestWarmupRateOfOneSender(t *testing.T) {
	for _, c := range []struct{ perSecond, over, slack, want float64 }{
		{7.2, 1.5, 5, 3.24},
		{2.5, 1.5, 5, 1.125},
		{10, 1, 0, 7.0 / 3},
		{4, 1, 0, 1.0 / 3},
		{1, 1, 0, 0.1},
		{5, 0, 0, 2.25},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			rate := fronter.Bounds{ColdOver: c.over, ColdSlack: c.slack}.WarmupRate(c.perSecond)
			is.True(rate > c.want-0.001 && rate < c.want+0.001)
		})
	}
}

// isolatedFleet returns VMs of one region that hear nobody, and the list of them.
func isolatedFleet() (fleet []*fronter.Fronter, members []heartbeater.Member) {
	for _, name := range modelNames(0) {
		self := heartbeater.Member{Name: name, Site: "east/a"}
		members = append(members, self)
		fleet = append(fleet, fronter.New(fronter.Options{
			Self:    name,
			Bounds:  func() fronter.Bounds { return fronter.Bounds{ColdOver: 1.5, ColdSlack: 5} },
			Members: func() []heartbeater.Member { return []heartbeater.Member{self} },
		}))
	}
	return fleet, members
}

// TestCutVmsKeepTheirColdUpstreams guards against VMs that take over cold upstreams from others only
// since they don't hear them: each upstream has the same two senders as before.
func TestCutVmsKeepTheirColdUpstreams(t *testing.T) {
	is := is.New(t)
	fleet, members := isolatedFleet()
	for _, f := range fleet {
		f.ExpectMembers(members)
	}
	var c cataloger.Catalog
	for i := range 50 {
		c.Put(cataloger.Upstream{ID: cataloger.UpstreamID(fmt.Sprint("cold", i)), Service: "ledger", Site: "east/a"})
	}
	for u := range c.Current().AllUsable().All() {
		senders := 0
		for _, f := range fleet {
			if f.SendsToCold(u) {
				senders++
			}
		}
		is.Equal(senders, 2)
	}
}

// TestInformedCutVmsSendWithinTheRate guards against VMs that are cut from each other and send to a cold
// upstream either nothing or more than its rate. They know the list of VMs.
func TestInformedCutVmsSendWithinTheRate(t *testing.T) {
	is := is.New(t)
	const bound = 12.5 // of the bounds for the default warm-up rate, 5 a second
	fleet, members := isolatedFleet()
	for _, f := range fleet {
		f.ExpectMembers(members)
	}
	u := &cataloger.Upstream{ID: "cold", Service: "ledger", Site: "east/a"}
	sent := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, f := range fleet {
			if f.SendsToCold(u) {
				sent++
			}
		}
	}
	is.True(sent > 0)
	is.True(float64(sent) <= bound)
}

// TestCutVmsKeepColdUpstreamsWithinTheirRate guards against VMs that all send to a cold upstream at
// the rate of one of few senders, since none hears the others.
func TestCutVmsKeepColdUpstreamsWithinTheirRate(t *testing.T) {
	const (
		// bound is that of the bounds for the default warm-up rate, 5 a second.
		bound  = 12.5
		length = 2 * time.Second
	)
	u := &cataloger.Upstream{ID: "cold", Service: "ledger", Site: "east/a"}
	var fleet []*fronter.Fronter
	for _, name := range modelNames(0) {
		self := heartbeater.Member{Name: name, Site: "east/a"}
		fleet = append(fleet, fronter.New(fronter.Options{
			Self:    name,
			Bounds:  func() fronter.Bounds { return fronter.Bounds{ColdOver: 1.5, ColdSlack: 5} },
			Members: func() []heartbeater.Member { return []heartbeater.Member{self} },
		}))
	}
	var sent []time.Time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, f := range fleet {
			if f.SendsToCold(u) {
				sent = append(sent, time.Now())
			}
		}
	}
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	if float64(most) > bound {
		t.Errorf("%d requests to a cold upstream within a second, bound %v", most, bound)
	}
}
